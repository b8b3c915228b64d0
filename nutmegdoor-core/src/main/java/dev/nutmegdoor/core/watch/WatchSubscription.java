package dev.nutmegdoor.core.watch;

import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks an instance to send the changes that it receives from the store, for the time of a
 * lease. An instance of an older version ignores it.
 *
 * @param zone availability zone of the sender
 * @param host IP address of the sender
 * @param port port of the sender for peer messages
 * @param askedMs time by the sender's monotonic clock in milliseconds, which an update is
 * to repeat at once; {@code null} if the sender knows the receiver's clock
 * @param revisions revision by kind up to which the sender has applied changes; changes
 * after it that the receiver remembers are sent at once
 */
public record WatchSubscription(AvailabilityZone zone, String host, int port, @Nullable Long askedMs,
		Map<String, Long> revisions) implements PeerMessage {

	public WatchSubscription(AvailabilityZone zone, String host, int port, @Nullable Long askedMs,
			@Nullable Map<String, Long> revisions) {
		this.zone = zone;
		this.host = host;
		this.port = port;
		this.askedMs = askedMs;
		this.revisions = (revisions != null) ? Map.copyOf(revisions) : Map.of();
	}

}
