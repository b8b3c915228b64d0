package dev.nutmegdoor.core.schedule;

import java.util.List;

import dev.nutmegdoor.core.placement.PromptHasher;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.ServiceClient;

/**
 * Clients through which the scheduler reaches the upstreams.
 *
 * @param engines client of model engines
 * @param services client of plain services
 * @param hasher computes the prefix hashes of prompts
 */
public record UpstreamClients(EngineClient engines, ServiceClient services, PromptHasher hasher) {

	/**
	 * Clients of an instance that only relays requests. They reject each call, because a
	 * relayed request carries its own relay.
	 */
	public static final UpstreamClients RELAY_ONLY = new UpstreamClients(RejectingUpstreamClient.INSTANCE,
			RejectingUpstreamClient.INSTANCE, (program, call) -> List.of());

}
