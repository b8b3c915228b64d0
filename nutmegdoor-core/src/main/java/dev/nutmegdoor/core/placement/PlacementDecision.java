package dev.nutmegdoor.core.placement;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Outcome of a placement.
 *
 * @param rule rule that decided
 * @param chosen replica that gets the call, or the one to wait for; {@code null} without
 * a candidate
 * @param alternatives all candidates, the best first
 */
public record PlacementDecision(PlacementRule rule, @Nullable ScoredReplica chosen, List<ScoredReplica> alternatives) {

	public PlacementDecision {
		alternatives = List.copyOf(alternatives);
	}

	/**
	 * Returns what would have had to differ for another choice.
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
