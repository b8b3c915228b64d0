package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * The other instances: those that the platform's store listed and those that sent a
 * report. Changed on the control thread; addresses are read from any thread.
 */
public final class UsagePeers {

	private final InstanceId self;

	private final Map<InstanceId, UsagePeer> peers = new HashMap<>();

	private volatile Map<InstanceId, DirectoryEntry> entries = Map.of();

	public UsagePeers(InstanceId self) {
		this.self = self;
	}

	/**
	 * Adds instances from the platform's store.
	 * @param listedEntries the instances
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
	 * Returns the address of an instance; may be called from any thread.
	 * @param id the instance
	 * @return its entry, or {@code null} if it is not known
	 */
	public @Nullable DirectoryEntry entry(InstanceId id) {
		return this.entries.get(id);
	}

	/**
	 * Returns the instances that sent a report lately, those of a zone first.
	 * @param zone the zone
	 * @param nowMs present time in milliseconds
	 * @param settings figures of the exchange
	 * @return instances
	 */
	public List<InstanceId> reachable(AvailabilityZone zone, long nowMs, UsageSettings settings) {
		List<InstanceId> reachableIds = new ArrayList<>();
		this.peers.forEach((id, peer) -> {
			if (peer.isReachable(nowMs, settings)) {
				DirectoryEntry entry = this.entries.get(id);
				boolean isSameZone = entry != null && entry.availabilityZone().equals(zone);
				reachableIds.add(isSameZone ? 0 : reachableIds.size(), id);
			}
		});
		return reachableIds;
	}

	/**
	 * Returns the number of instances, this one included; may be called from any thread.
	 * @return the number
	 */
	public int instances() {
		return 1 + this.entries.size();
	}

	List<InstanceId> instanceIds() {
		return new ArrayList<>(this.entries.keySet());
	}

	UsagePeer recordContact(InstanceId from, UsageReport report, long nowMs) {
		DirectoryEntry knownEntry = this.entries.get(from);
		if (knownEntry == null || !knownEntry.host().equals(report.host()) || knownEntry.port() != report.port()) {
			Map<InstanceId, DirectoryEntry> changed = new HashMap<>(this.entries);
			changed.put(from, new DirectoryEntry(from, report.zone(), report.host(), report.port(), false));
			this.entries = Map.copyOf(changed);
		}
		return this.peers.computeIfAbsent(from, (id) -> new UsagePeer(nowMs));
	}

	// An instance that was listed but never heard does not count: it may be long gone.
	double reachableShare(long nowMs, UsageSettings settings) {
		long reachable = this.peers.values().stream().filter((peer) -> peer.isReachable(nowMs, settings)).count();
		return (1.0 + reachable) / knownInstanceCount(nowMs, settings);
	}

	int knownInstanceCount(long nowMs, UsageSettings settings) {
		return 1 + (int) this.peers.values().stream().filter((peer) -> peer.isKnown(nowMs, settings)).count();
	}

}
