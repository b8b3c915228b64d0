package dev.nutmegdoor.core.placement;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Chooses the next order to an engine. Pure.
 */
public final class EngineOrderPlanner {

	private EngineOrderPlanner() {
	}

	/**
	 * Moves one engine from the least to the most wanted model, if the difference in
	 * demand is large and neither has changed lately.
	 * @param input everything that is known
	 * @return the order, or {@code null} if nothing is to change
	 */
	public static @Nullable EngineOrder decide(EngineOrderInput input) {
		EngineOrderSettings settings = input.settings();
		if (input.sinceOrderMs() < settings.minGapMs()) {
			return null;
		}
		ModelDemand wanted = null;
		ModelDemand spare = null;
		for (ModelDemand demand : input.demands()) {
			if (demand.sinceChangeMs() < settings.minSinceChangeMs()) {
				continue;
			}
			if (demand.utilisation() > settings.raiseAbove()
					&& (wanted == null || demand.utilisation() > wanted.utilisation())) {
				wanted = demand;
			}
			// The last replica of a model is never given up.
			if (demand.utilisation() < settings.lowerBelow() && demand.replicas() > 1
					&& (spare == null || demand.utilisation() < spare.utilisation())) {
				spare = demand;
			}
		}
		if (wanted == null || spare == null) {
			return null;
		}
		UpstreamId best = null;
		for (Map.Entry<UpstreamId, List<String>> engine : input.loaded().entrySet()) {
			boolean isCandidate = engine.getValue().contains(spare.model())
					&& !engine.getValue().contains(wanted.model());
			if (isCandidate && (best == null || engine.getKey().compareTo(best) < 0)) {
				best = engine.getKey();
			}
		}
		return (best != null) ? new EngineOrder(best, wanted.model()) : null;
	}

}
