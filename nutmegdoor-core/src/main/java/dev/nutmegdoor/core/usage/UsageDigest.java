package dev.nutmegdoor.core.usage;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.placement.ObservedLoad;

/**
 * Passes on what a relay has learned from others since its last digest. Counts are
 * cumulative, so a digest that is received twice or over two relays changes nothing.
 *
 * @param zone availability zone of the relay
 * @param host IP address of the relay
 * @param port port of the relay for peer messages
 * @param knownInstances number of instances, counted in the whole deployment if the
 * receiver is in the relay's zone, otherwise in the relay's zone
 * @param reachableInstances number of these that can be reached
 * @param resumedZones availability zones that the relay can reach again after a gap;
 * their counts include what was admitted in the gap and only set the starting point
 * @param entries instances whose counts have changed
 * @param loads latest loads of replicas that were observed since the last digest
 */
public record UsageDigest(AvailabilityZone zone, String host, int port, int knownInstances, int reachableInstances,
		List<AvailabilityZone> resumedZones, List<UsageEntry> entries,
		List<ObservedLoad> loads) implements PeerMessage {

	public UsageDigest {
		resumedZones = List.copyOf(resumedZones);
		entries = List.copyOf(entries);
		loads = List.copyOf(loads);
	}

}
