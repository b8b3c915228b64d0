package dev.nutmegdoor.core.usage;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.quarantine.SuspectRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;

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
 * @param suspects requests that replicas had when they crashed; {@code null}, which is
 * read as none, from an instance of an older version
 * @param evacuations evacuated zones, or {@code null} from an instance that does not know
 * them
 */
public record UsageDigest(AvailabilityZone zone, String host, int port, int knownInstances, int reachableInstances,
		List<AvailabilityZone> resumedZones, List<UsageEntry> entries, List<ObservedLoad> loads,
		List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations) implements PeerMessage {

	public UsageDigest(AvailabilityZone zone, String host, int port, int knownInstances, int reachableInstances,
			List<AvailabilityZone> resumedZones, List<UsageEntry> entries, List<ObservedLoad> loads,
			@Nullable List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations) {
		this.zone = zone;
		this.host = host;
		this.port = port;
		this.knownInstances = knownInstances;
		this.reachableInstances = reachableInstances;
		this.resumedZones = List.copyOf(resumedZones);
		this.entries = List.copyOf(entries);
		this.loads = List.copyOf(loads);
		this.suspects = (suspects != null) ? List.copyOf(suspects) : List.of();
		this.evacuations = evacuations;
	}

}
