package dev.nutmegdoor.core.membership;

import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Periodic sign of life.
 *
 * @param sender the sender with its state and version
 * @param digest hash of the instances that the sender knows and that are not gone
 * @param updates recent changes
 * @param zoneAgesMs by zone, the age of the newest sign of life in milliseconds
 * @param fields values of the extensions by name
 * @param answerWanted whether the receiver should send a heartbeat back at once
 */
public record Heartbeat(MemberUpdate sender, long digest, List<MemberUpdate> updates, Map<String, Long> zoneAgesMs,
		Map<String, String> fields, boolean answerWanted) implements PeerMessage {

	public Heartbeat {
		updates = List.copyOf(updates);
		zoneAgesMs = Map.copyOf(zoneAgesMs);
		fields = Map.copyOf(fields);
	}

}
