package dev.nutmegdoor.core.schedule;

import dev.nutmegdoor.core.placement.PromptHasher;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.ServiceClient;

/**
 * Ways to the upstreams.
 *
 * @param engines client of model engines
 * @param services client of plain services
 * @param hasher hashes the prefixes of prompts
 */
public record UpstreamPorts(EngineClient engines, ServiceClient services, PromptHasher hasher) {

}
