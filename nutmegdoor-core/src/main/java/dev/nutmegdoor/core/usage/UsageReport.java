package dev.nutmegdoor.core.usage;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.quarantine.SuspectRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;

/**
 * Reports what an instance has admitted since its start. It is sent several times a
 * second, to all other instances or, in large deployments, to the relays of its zone. The
 * counts are cumulative, so the next report makes up for a lost one.
 *
 * @param incarnation identifies the run of the sender; counts restart at 0 with each run
 * @param zone availability zone of the sender
 * @param host IP address of the sender
 * @param port port of the sender for peer messages
 * @param isStarting whether the sender has just started and requests an immediate report
 * in return
 * @param admitted requests admitted since the start, by workspace; from an instance that
 * reports to relays only workspaces with a change
 * @param levels whole tokens in the sender's buckets that are less than nine tenths full,
 * by workspace; may be negative
 * @param uptimeMs time since the start of the sender in milliseconds
 * @param loads loads of replicas that the sender has observed since its last report;
 * {@code null}, which is read as none, from an instance of an older version
 * @param suspects requests that replicas had when they crashed; {@code null}, which is
 * read as none, from an instance of an older version
 * @param evacuations evacuated zones, or {@code null} from an instance that does not know
 * them
 */
public record UsageReport(String incarnation, AvailabilityZone zone, String host, int port, boolean isStarting,
		Map<String, Long> admitted, Map<String, Long> levels, long uptimeMs, List<ObservedLoad> loads,
		List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations) implements PeerMessage {

	public UsageReport(String incarnation, AvailabilityZone zone, String host, int port, boolean isStarting,
			Map<String, Long> admitted, Map<String, Long> levels, long uptimeMs, @Nullable List<ObservedLoad> loads,
			@Nullable List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations) {
		this.incarnation = incarnation;
		this.zone = zone;
		this.host = host;
		this.port = port;
		this.isStarting = isStarting;
		this.admitted = Map.copyOf(admitted);
		this.levels = Map.copyOf(levels);
		this.uptimeMs = uptimeMs;
		this.loads = (loads != null) ? List.copyOf(loads) : List.of();
		this.suspects = (suspects != null) ? List.copyOf(suspects) : List.of();
		this.evacuations = evacuations;
	}

}
