package dev.nutmegdoor.core.placement;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Input of {@link EngineOrderPlanner}.
 *
 * @param demands demand for each model
 * @param loaded names of the models that each engine has loaded
 * @param sinceOrderMs time since the last order to any engine in milliseconds
 * @param settings thresholds and minimum intervals
 */
public record EngineOrderInput(List<ModelDemand> demands, Map<UpstreamId, List<String>> loaded, long sinceOrderMs,
		EngineOrderSettings settings) {

	public EngineOrderInput {
		demands = List.copyOf(demands);
		loaded = Map.copyOf(loaded);
	}

}
