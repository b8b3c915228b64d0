package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * Tracks the other instances: those listed by the platform's store and those that sent a
 * report. Modified on the control thread; addresses may be read from any thread.
 */
public final class UsagePeers {

	private final InstanceId self;

	private final Map<InstanceId, UsagePeer> peers = new HashMap<>();

	private volatile Map<InstanceId, DirectoryEntry> entries = Map.of();

	public UsagePeers(InstanceId self) {
		this.self = self;
	}

	/**
	 * Adds instances listed by the platform's store. Entries that are present already are
	 * kept, because a report may have updated their address.
	 * @param listedEntries instances; may include this one
	 */
	public void addListed(List<DirectoryEntry> listedEntries) {
		Map<InstanceId, DirectoryEntry> merged = new HashMap<>(this.entries);
		for (DirectoryEntry entry : listedEntries) {
			if (!entry.id().equals(this.self)) {
				merged.putIfAbsent(entry.id(), entry);
			}
		}
		this.entries = Map.copyOf(merged);
	}

	/**
	 * Returns the address of an instance. May be called from any thread.
	 * @param id identifier of another instance
	 * @return its entry, or {@code null} if it was neither listed nor sent a report
	 */
	public @Nullable DirectoryEntry entry(InstanceId id) {
		return this.entries.get(id);
	}

	/**
	 * Returns the reachable instances, those of a given availability zone first.
	 * @param zone availability zone to list first
	 * @param nowMs current time in milliseconds
	 * @param settings maximum age of the last report, and the time after a gap
	 * @return a new list without this instance
	 */
	public List<InstanceId> reachable(AvailabilityZone zone, long nowMs, UsageSettings settings) {
		List<InstanceId> reachableIds = new ArrayList<>();
		this.peers.forEach((id, peer) -> {
			if (peer.isReachable(nowMs, settings)) {
				reachableIds.add(isIn(id, zone) ? 0 : reachableIds.size(), id);
			}
		});
		return reachableIds;
	}

	/**
	 * Returns the number of instances that were listed or sent a report, including this
	 * one. May be called from any thread.
	 * @return number of instances, at least 1
	 */
	public int instances() {
		return 1 + this.entries.size();
	}

	/**
	 * Returns the other instances that were listed or sent a report. May be called from
	 * any thread.
	 * @return identifiers without that of this instance
	 */
	public Collection<InstanceId> instanceIds() {
		return this.entries.keySet();
	}

	/**
	 * Returns the other instances with their addresses. May be called from any thread.
	 * @return entries without that of this instance
	 */
	public Collection<DirectoryEntry> entries() {
		return this.entries.values();
	}

	UsagePeer recordContact(InstanceId from, UsageReport report, long nowMs) {
		recordAddress(new DirectoryEntry(from, report.zone(), report.host(), report.port(), false));
		return this.peers.computeIfAbsent(from, (id) -> new UsagePeer(nowMs));
	}

	void recordContact(InstanceId from, UsageDigest digest, long nowMs) {
		recordAddress(new DirectoryEntry(from, digest.zone(), digest.host(), digest.port(), false));
		this.peers.computeIfAbsent(from, (id) -> new UsagePeer(nowMs)).recordDigest(nowMs);
	}

	private void recordAddress(DirectoryEntry entry) {
		DirectoryEntry knownEntry = this.entries.get(entry.id());
		if (knownEntry == null || !knownEntry.host().equals(entry.host()) || knownEntry.port() != entry.port()) {
			Map<InstanceId, DirectoryEntry> changed = new HashMap<>(this.entries);
			changed.put(entry.id(), entry);
			this.entries = Map.copyOf(changed);
		}
	}

	/**
	 * Returns the instances of a zone that have sent something lately.
	 * @param zone availability zone
	 * @param nowMs current time in milliseconds
	 * @param settings time after which an instance is no longer regarded
	 * @return a new list without this instance
	 */
	List<InstanceId> recent(AvailabilityZone zone, long nowMs, UsageSettings settings) {
		List<InstanceId> recentIds = new ArrayList<>();
		this.peers.forEach((id, peer) -> {
			if (isIn(id, zone) && peer.isRecent(nowMs, settings)) {
				recentIds.add(id);
			}
		});
		return recentIds;
	}

	int countKnown(AvailabilityZone zone, long nowMs, UsageSettings settings) {
		return count(zone, (peer) -> peer.isKnown(nowMs, settings));
	}

	int countReachable(AvailabilityZone zone, long nowMs, UsageSettings settings) {
		return count(zone, (peer) -> peer.isReachable(nowMs, settings));
	}

	private int count(AvailabilityZone zone, Predicate<UsagePeer> condition) {
		int count = 0;
		for (Map.Entry<InstanceId, UsagePeer> peer : this.peers.entrySet()) {
			count += (isIn(peer.getKey(), zone) && condition.test(peer.getValue())) ? 1 : 0;
		}
		return count;
	}

	private boolean isIn(InstanceId id, AvailabilityZone zone) {
		DirectoryEntry entry = this.entries.get(id);
		return entry != null && entry.availabilityZone().equals(zone);
	}

	// Ignores instances that were listed but never sent a report: they may have stopped
	// long ago.
	double reachableFraction(long nowMs, UsageSettings settings) {
		long reachable = this.peers.values().stream().filter((peer) -> peer.isReachable(nowMs, settings)).count();
		return (1.0 + reachable) / knownInstanceCount(nowMs, settings);
	}

	int knownInstanceCount(long nowMs, UsageSettings settings) {
		return 1 + (int) this.peers.values().stream().filter((peer) -> peer.isKnown(nowMs, settings)).count();
	}

}
