package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * An order to load a model.
 *
 * @param upstream the engine
 * @param model model to load
 */
public record EngineOrder(UpstreamId upstream, String model) {

}
