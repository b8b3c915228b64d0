package dev.nutmegdoor.core.watch;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sent by a watching instance to its subscribers after each change and periodically.
 *
 * @param run identifier of the sender's process
 * @param sequence number of the message, which increases within a run; a message that
 * arrives after a later one is ignored
 * @param sentMs time by the sender's monotonic clock in milliseconds; {@code null} from
 * an older version
 * @param askedMs time that the subscription states to which this is the answer;
 * {@code null} in other messages
 * @param sinceOutageMs time in milliseconds since the store answered the sender again
 * after an outage, 0 during an outage, {@code null} if there was none lately
 * @param kinds state and changes of one or more kinds
 */
public record WatchUpdate(String run, long sequence, @Nullable Long sentMs, @Nullable Long askedMs,
		@Nullable Long sinceOutageMs, List<KindUpdate> kinds) implements PeerMessage {

	public WatchUpdate(String run, long sequence, @Nullable Long sentMs, @Nullable Long askedMs,
			@Nullable Long sinceOutageMs, @Nullable List<KindUpdate> kinds) {
		this.run = run;
		this.sequence = sequence;
		this.sentMs = sentMs;
		this.askedMs = askedMs;
		this.sinceOutageMs = sinceOutageMs;
		this.kinds = (kinds != null) ? List.copyOf(kinds) : List.of();
	}

}
