package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Instructs an engine to load a model.
 *
 * @param upstream the engine
 * @param model name of the model
 */
public record EngineOrder(UpstreamId upstream, String model) {

}
