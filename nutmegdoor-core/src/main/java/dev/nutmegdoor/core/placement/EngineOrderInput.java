package dev.nutmegdoor.core.placement;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * What decides the next order to an engine.
 *
 * @param demands demand of each model
 * @param loaded models that each engine has loaded
 * @param sinceOrderMs time since the last order of any engine in milliseconds
 * @param settings thresholds
 */
public record EngineOrderInput(List<ModelDemand> demands, Map<UpstreamId, List<String>> loaded, long sinceOrderMs,
		EngineOrderSettings settings) {

	public EngineOrderInput {
		demands = List.copyOf(demands);
		loaded = Map.copyOf(loaded);
	}

}
