package dev.nutmegdoor.core.placement;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Chooses the next order to an engine. The decision depends only on the input.
 */
public final class EngineOrderPlanner {

	private EngineOrderPlanner() {
	}

	/**
	 * Reassigns one engine from the least to the most utilised model, if the first is
	 * below and the second above its threshold and neither has changed recently. Among
	 * the eligible engines, the one with the lowest identifier is chosen.
	 * @param input demand, loaded models and settings
	 * @return the order, or {@code null} if no engine is to be reassigned
	 */
	public static @Nullable EngineOrder decide(EngineOrderInput input) {
		EngineOrderSettings settings = input.settings();
		if (input.sinceOrderMs() < settings.minGapMs()) {
			return null;
		}
		ModelDemand mostUtilised = null;
		ModelDemand leastUtilised = null;
		for (ModelDemand demand : input.demands()) {
			if (demand.sinceChangeMs() < settings.minSinceChangeMs()) {
				continue;
			}
			if (demand.utilisation() > settings.raiseAbove()
					&& (mostUtilised == null || demand.utilisation() > mostUtilised.utilisation())) {
				mostUtilised = demand;
			}
			// The last replica of a model is never reassigned.
			if (demand.utilisation() < settings.lowerBelow() && demand.replicas() > 1
					&& (leastUtilised == null || demand.utilisation() < leastUtilised.utilisation())) {
				leastUtilised = demand;
			}
		}
		if (mostUtilised == null || leastUtilised == null) {
			return null;
		}
		UpstreamId selectedEngine = null;
		for (Map.Entry<UpstreamId, List<String>> engine : input.loaded().entrySet()) {
			boolean isCandidate = engine.getValue().contains(leastUtilised.model())
					&& !engine.getValue().contains(mostUtilised.model());
			if (isCandidate && (selectedEngine == null || engine.getKey().compareTo(selectedEngine) < 0)) {
				selectedEngine = engine.getKey();
			}
		}
		return (selectedEngine != null) ? new EngineOrder(selectedEngine, mostUtilised.model()) : null;
	}

}
