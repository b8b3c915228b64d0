package dev.nutmegdoor.core.placement;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Result of {@link Placement}.
 *
 * @param rule rule that led to the decision
 * @param chosen replica that receives the call or that the call waits for; {@code null}
 * if there is no candidate
 * @param alternatives all candidates including the chosen one, the lowest score first
 */
public record PlacementDecision(PlacementRule rule, @Nullable ScoredReplica chosen, List<ScoredReplica> alternatives) {

	public PlacementDecision {
		alternatives = List.copyOf(alternatives);
	}

	/**
	 * Describes a difference in the input that would have led to another choice.
	 * @return one sentence
	 */
	public String counterfactual() {
		if (this.chosen == null) {
			return "a healthy replica would have had to serve the pool";
		}
		if (this.alternatives.size() < 2) {
			return "another healthy replica would have had to serve the pool";
		}
		ScoredReplica second = this.alternatives.get(1);
		return second.id() + " would have had to cost " + Math.round(second.scoreMs() - this.chosen.scoreMs())
				+ " ms less";
	}

}
