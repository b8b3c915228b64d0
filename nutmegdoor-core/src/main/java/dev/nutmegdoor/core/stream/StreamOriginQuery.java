package dev.nutmegdoor.core.stream;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks where a stream may go on.
 *
 * @param attempt hash of the identifier of the attempt that brought its first event
 * @param services services that may have begun it
 */
public record StreamOriginQuery(long attempt, List<String> services) implements PeerMessage {

	public StreamOriginQuery {
		services = List.copyOf(services);
	}

}
