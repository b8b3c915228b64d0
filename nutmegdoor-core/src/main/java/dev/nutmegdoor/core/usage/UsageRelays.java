package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.placement.ObservedLoads;
import dev.nutmegdoor.core.quarantine.SuspectRequest;
import dev.nutmegdoor.core.route.EvacuatedZones;

/**
 * Passes usage on in large deployments. Each instance reports to the relays of its zone;
 * these send digests of their zone to the relays of the other zones, and digests of
 * everything to the instances of their own. So the messages of most instances don't grow
 * with the deployment, and those of a relay grow with the instances of its zone and the
 * number of zones. Runs on the control thread.
 */
final class UsageRelays {

	private final PeerTransport transport;

	private final UsagePeers peers;

	private final UsageSettings settings;

	private final LocalUsageEndpoint endpoint;

	private final long startedMs;

	private final long observedSinceMs;

	private final RelayChoice choice;

	private final Map<InstanceId, UsageOrigin> origins = new HashMap<>();

	private final Map<AvailabilityZone, ReachableCount> otherZones = new HashMap<>();

	private final ReachableCount deployment;

	private final PendingCounts pendingForZone = new PendingCounts();

	private final PendingCounts pendingForOtherZones = new PendingCounts();

	private final ObservedLoads loadsForZone = new ObservedLoads();

	private final ObservedLoads loadsForOtherZones = new ObservedLoads();

	private final Map<InstanceId, Long> digestSendersMs = new HashMap<>();

	private long lastReportReceivedMs = Long.MIN_VALUE / 2;

	private long lastDigestMs = Long.MIN_VALUE / 2;

	/**
	 * Creates the relays' part of an instance.
	 * @param transport sends digests
	 * @param peers instances that were listed or sent a message
	 * @param settings periods and timeouts
	 * @param endpoint zone, address and run of this instance
	 * @param startedMs start of this instance
	 * @param isFirstStart whether the entire system starts for the first time, so that
	 * nothing was admitted before the start of this instance
	 */
	UsageRelays(PeerTransport transport, UsagePeers peers, UsageSettings settings, LocalUsageEndpoint endpoint,
			long startedMs, boolean isFirstStart) {
		this.transport = transport;
		this.peers = peers;
		this.settings = settings;
		this.endpoint = endpoint;
		this.startedMs = startedMs;
		this.observedSinceMs = isFirstStart ? Long.MIN_VALUE / 2 : startedMs;
		this.choice = new RelayChoice(transport.self(), settings);
		this.deployment = new ReachableCount(settings);
	}

	/**
	 * Returns whether the deployment is too large for reports of each instance to each
	 * other.
	 * @return {@code false} if all instances report to all others
	 */
	boolean areInUse() {
		return this.peers.instances() > this.settings.directInstances();
	}

	/**
	 * Returns the instances to which this one reports.
	 * @param isStarting whether this instance has just started; it then introduces itself
	 * to its whole zone
	 * @param nowMs current time in milliseconds
	 * @return relays of the own zone, or of all others if there is none
	 */
	Collection<InstanceId> reportReceivers(boolean isStarting, long nowMs) {
		Collection<DirectoryEntry> entries = this.peers.entries();
		Set<InstanceId> receivers = new LinkedHashSet<>(this.choice.relays(this.endpoint.zone(), true, entries, nowMs));
		if (receivers.isEmpty()) {
			zonesOfOthers().forEach((zone) -> receivers.addAll(this.choice.relays(zone, false, entries, nowMs)));
		}
		receivers.forEach((receiver) -> this.choice.sent(receiver, nowMs));
		if (isStarting) {
			entries.stream()
				.filter((entry) -> entry.availabilityZone().equals(this.endpoint.zone()))
				.forEach((entry) -> receivers.add(entry.id()));
		}
		return receivers;
	}

	/**
	 * Adds what this instance has admitted itself.
	 * @param totals cumulative counts of the workspaces with a change
	 * @param loads loads of replicas that this instance has observed
	 * @param nowMs current time in milliseconds
	 */
	void addOwn(Map<String, Long> totals, List<ObservedLoad> loads, long nowMs) {
		addLoads(loads, nowMs, true);
		addEntry(new UsageEntry(this.transport.self(), this.endpoint.zone(), this.endpoint.incarnation(),
				nowMs - this.startedMs, totals), nowMs, true);
	}

	/**
	 * Merges the report of an instance of this zone, for which this instance is a relay.
	 * @param from the instance
	 * @param report its report
	 * @param nowMs current time in milliseconds
	 * @return increases by workspace
	 */
	Map<String, Long> addReport(InstanceId from, UsageReport report, long nowMs) {
		if (!report.isStarting()) {
			this.lastReportReceivedMs = nowMs;
		}
		addLoads(report.loads(), nowMs, true);
		return addEntry(new UsageEntry(from, report.zone(), report.incarnation(), report.uptimeMs(), report.admitted()),
				nowMs, true);
	}

	/**
	 * Merges a digest.
	 * @param from the relay that sent it
	 * @param digest the digest
	 * @param nowMs current time in milliseconds
	 * @return increases by workspace that have not been counted yet
	 */
	Map<String, Long> addDigest(InstanceId from, UsageDigest digest, long nowMs) {
		this.choice.received(from);
		this.digestSendersMs.put(from, nowMs);
		boolean isFromOtherZone = !digest.zone().equals(this.endpoint.zone());
		if (isFromOtherZone) {
			addLoads(digest.loads(), nowMs, false);
		}
		ReachableCount count = isFromOtherZone
				? this.otherZones.computeIfAbsent(digest.zone(), (zone) -> new ReachableCount(this.settings))
				: this.deployment;
		if (count.record(digest, nowMs)) {
			this.origins.forEach((id, origin) -> {
				if (!id.equals(this.transport.self()) && (!isFromOtherZone || origin.isIn(digest.zone()))) {
					origin.forgetCounts();
				}
			});
		}
		digest.resumedZones().forEach(this::forgetCountsOf);
		Map<String, Long> increases = new HashMap<>();
		for (UsageEntry entry : digest.entries()) {
			if (!entry.instance().equals(this.transport.self())) {
				Map<String, Long> entryIncreases = addEntry(entry, nowMs, isFromOtherZone);
				if (!count.isReturning(nowMs) && !digest.resumedZones().contains(entry.zone())) {
					entryIncreases.forEach((workspace, increase) -> increases.merge(workspace, increase, Long::sum));
				}
			}
		}
		return increases;
	}

	private void forgetCountsOf(AvailabilityZone zone) {
		this.origins.values().stream().filter((origin) -> origin.isIn(zone)).forEach(UsageOrigin::forgetCounts);
	}

	private void addLoads(List<ObservedLoad> loads, long nowMs, boolean isOfOwnZone) {
		this.loadsForZone.add(loads, nowMs);
		if (isOfOwnZone) {
			this.loadsForOtherZones.add(loads, nowMs);
		}
	}

	// Counts of the own zone go to all, counts of other zones only to the own zone. What
	// another relay of the own zone passes on, the zone gets from that relay.
	private Map<String, Long> addEntry(UsageEntry entry, long nowMs, boolean isPassedOn) {
		Map<String, Long> increases = this.origins.computeIfAbsent(entry.instance(), (id) -> new UsageOrigin())
			.merge(entry, nowMs, this.observedSinceMs);
		if (isPassedOn) {
			this.pendingForZone.add(entry.instance(), increases.keySet());
			if (entry.zone().equals(this.endpoint.zone())) {
				this.pendingForOtherZones.add(entry.instance(), increases.keySet());
			}
		}
		return increases;
	}

	/**
	 * Sends digests if this instance is a relay and one is due.
	 * @param isUrgent whether a bucket with changes is low or there are suspects
	 * @param suspects requests that replicas had when they crashed, to pass on
	 * @param evacuations evacuated zones to pass on, or {@code null}
	 * @param nowMs current time in milliseconds
	 */
	void sendDigestsIfDue(boolean isUrgent, List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations,
			long nowMs) {
		if (!isRelay(nowMs)) {
			this.pendingForZone.drain((instance, workspaces) -> null);
			this.pendingForOtherZones.drain((instance, workspaces) -> null);
			this.loadsForZone.drain(nowMs);
			this.loadsForOtherZones.drain(nowMs);
			return;
		}
		boolean isChanged = !this.pendingForZone.isEmpty() || !this.pendingForOtherZones.isEmpty()
				|| !this.loadsForZone.isEmpty() || !suspects.isEmpty();
		long periodMs = isChanged ? (isUrgent ? 0 : this.settings.calmPeriodMs()) : this.settings.quietPeriodMs();
		if (nowMs - this.lastDigestMs < periodMs) {
			return;
		}
		this.lastDigestMs = nowMs;
		Collection<InstanceId> otherRelays = otherRelays(nowMs);
		otherRelays.forEach((relay) -> this.choice.sent(relay, nowMs));
		this.transport.sendAll(otherRelays, digest(knownInZone(nowMs), reachableInZone(nowMs), List.of(),
				this.pendingForOtherZones, this.loadsForOtherZones, suspects, evacuations, nowMs));
		this.transport.sendAll(this.peers.recent(this.endpoint.zone(), nowMs, this.settings),
				digest(knownInstances(nowMs), reachableInstances(nowMs), resumedZones(nowMs), this.pendingForZone,
						this.loadsForZone, suspects, evacuations, nowMs));
	}

	private UsageDigest digest(int known, int reachable, List<AvailabilityZone> resumedZones, PendingCounts pending,
			ObservedLoads loads, List<SuspectRequest> suspects, @Nullable EvacuatedZones evacuations, long nowMs) {
		List<UsageEntry> entries = pending.drain((instance, workspaces) -> {
			UsageOrigin origin = this.origins.get(instance);
			return (origin != null) ? origin.toEntry(instance, workspaces, nowMs) : null;
		});
		return new UsageDigest(this.endpoint.zone(), this.endpoint.host(), this.endpoint.port(), known, reachable,
				resumedZones, entries, loads.drain(nowMs), suspects, evacuations);
	}

	private List<AvailabilityZone> resumedZones(long nowMs) {
		List<AvailabilityZone> zones = new ArrayList<>();
		this.otherZones.forEach((zone, count) -> {
			if (count.isReturning(nowMs)) {
				zones.add(zone);
			}
		});
		return zones;
	}

	// A relay that sends digests here gets them from here as well, even if the views of
	// both sides differ on who the relays are.
	private Collection<InstanceId> otherRelays(long nowMs) {
		Collection<DirectoryEntry> entries = this.peers.entries();
		Set<InstanceId> relays = new LinkedHashSet<>();
		zonesOfOthers().forEach((zone) -> relays.addAll(this.choice.relays(zone, false, entries, nowMs)));
		this.digestSendersMs.values().removeIf((lastMs) -> nowMs - lastMs > this.settings.suspectMs());
		this.digestSendersMs.keySet().forEach((id) -> {
			DirectoryEntry entry = this.peers.entry(id);
			if (entry != null && !entry.availabilityZone().equals(this.endpoint.zone())) {
				relays.add(id);
			}
		});
		return relays;
	}

	private Set<AvailabilityZone> zonesOfOthers() {
		Set<AvailabilityZone> zones = new HashSet<>();
		this.peers.entries().forEach((entry) -> zones.add(entry.availabilityZone()));
		zones.remove(this.endpoint.zone());
		return zones;
	}

	private boolean isRelay(long nowMs) {
		return nowMs - this.lastReportReceivedMs <= this.settings.suspectMs()
				|| this.choice.isSelfChosen(this.endpoint.zone(), this.peers.entries(), nowMs);
	}

	/**
	 * Returns the number of instances, including this one.
	 * @param nowMs current time in milliseconds
	 * @return at least 1
	 */
	int knownInstances(long nowMs) {
		if (!isRelay(nowMs)) {
			return Math.max(1, this.deployment.known(nowMs));
		}
		return knownInZone(nowMs) + this.otherZones.values().stream().mapToInt((count) -> count.known(nowMs)).sum();
	}

	/**
	 * Returns the number of instances that can be reached, including this one.
	 * @param nowMs current time in milliseconds
	 * @return from 1 to the number of known instances
	 */
	int reachableInstances(long nowMs) {
		if (!isRelay(nowMs)) {
			return Math.max(1, this.deployment.reachable(nowMs));
		}
		return reachableInZone(nowMs)
				+ this.otherZones.values().stream().mapToInt((count) -> count.reachable(nowMs)).sum();
	}

	private int knownInZone(long nowMs) {
		return 1 + this.peers.countKnown(this.endpoint.zone(), nowMs, this.settings);
	}

	private int reachableInZone(long nowMs) {
		return 1 + this.peers.countReachable(this.endpoint.zone(), nowMs, this.settings);
	}

}
