package dev.nutmegdoor.core.schedule;

import java.util.List;

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

	/**
	 * For instances that only relay requests: a relayed request brings its own way to the
	 * upstreams.
	 */
	public static final UpstreamPorts RELAY_ONLY = new UpstreamPorts(NoUpstreams.INSTANCE, NoUpstreams.INSTANCE,
			(program, call) -> List.of());

}
