package dev.nutmegdoor.core.usage;

import java.util.Map;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * What an instance has admitted since its start, sent to all other instances several
 * times a second. Counts only rise, so a lost report is made up for by the next one.
 *
 * @param incarnation identifies the run of the sender; counts start anew with it
 * @param zone zone of the sender
 * @param host IP number of the sender
 * @param port port of the sender for messages
 * @param isStarting whether the sender has just started and wants an answer at once
 * @param admitted requests admitted by workspace
 * @param levels whole tokens left in the sender's view of the buckets that are not full,
 * by workspace
 */
public record UsageReport(String incarnation, AvailabilityZone zone, String host, int port, boolean isStarting,
		Map<String, Long> admitted, Map<String, Long> levels) implements PeerMessage {

	public UsageReport {
		admitted = Map.copyOf(admitted);
		levels = Map.copyOf(levels);
	}

}
