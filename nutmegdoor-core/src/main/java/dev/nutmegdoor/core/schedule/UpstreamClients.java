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
public record UpstreamClients(EngineClient engines, ServiceClient services, PromptHasher hasher) {

	/**
	 * For instances that only relay requests: a relayed request brings its own way to the
	 * upstreams.
	 */
	public static final UpstreamClients RELAY_ONLY = new UpstreamClients(RejectingUpstreamClient.INSTANCE,
			RejectingUpstreamClient.INSTANCE, (program, call) -> List.of());

}
