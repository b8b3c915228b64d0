package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Message that an instance sends periodically to show that it is running.
 *
 * @param sender entry of the sender, with its state and version
 * @param digest hash of the instances in the sender's table that are not gone
 * @param updates recent membership changes
 * @param zoneAgesMs time since the last heartbeat from each zone in milliseconds, by zone
 * @param fields values of the heartbeat extensions by name
 * @param answerWanted {@code true} if the receiver should reply immediately with a
 * heartbeat of its own
 */
public record Heartbeat(MemberUpdate sender, long digest, List<MemberUpdate> updates, Map<String, Long> zoneAgesMs,
		Map<String, String> fields, boolean answerWanted) implements PeerMessage {

	public Heartbeat {
		updates = List.copyOf(updates);
		zoneAgesMs = Map.copyOf(zoneAgesMs);
		fields = Map.copyOf(fields);
	}

}
