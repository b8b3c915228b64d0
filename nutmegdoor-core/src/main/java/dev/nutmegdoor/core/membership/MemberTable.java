package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Table of the other instances, with their last reported states and last heartbeats.
 */
final class MemberTable {

	/** Heartbeats that repeat a change after the flood, which misses few instances. */
	private static final int UPDATE_ROUNDS = 5;

	/** Limits a heartbeat to about 1 KB when many instances change at the same time. */
	private static final int MAX_UPDATES = 8;

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private final TreeMap<InstanceId, Entry> entries = new TreeMap<>();

	private final Map<AvailabilityZone, Long> lastZoneContactMs = new HashMap<>();

	@Nullable Entry get(InstanceId id) {
		return this.entries.get(id);
	}

	Collection<Entry> entries() {
		return this.entries.values();
	}

	/**
	 * Merges an update of another instance if it is newer than the entry in the table.
	 * @param update received or locally detected update
	 * @param nowMs current time in milliseconds
	 * @param isPropagated whether the next heartbeats include the update
	 * @return {@code true} if the update adds an instance or changes its state or version
	 * in a way that other instances should receive
	 */
	boolean merge(MemberUpdate update, long nowMs, boolean isPropagated) {
		Entry entry = this.entries.get(update.member().id());
		if (entry == null) {
			if (update.member().state() == MemberState.GONE) {
				return false;
			}
			Entry added = new Entry(update, nowMs);
			added.remainingRounds = isPropagated ? UPDATE_ROUNDS : 0;
			this.entries.put(update.member().id(), added);
			this.lastZoneContactMs.putIfAbsent(update.member().availabilityZone(), nowMs);
			return true;
		}
		if (!update.isNewerThan(entry.update)) {
			return false;
		}
		boolean isStateChange = entry.state() != update.member().state();
		entry.update = update;
		if (!isStateChange && update.version() == 1) {
			// The first version of an instance that is already in the table is not a
			// change to propagate.
			entry.remainingRounds = 0;
			return false;
		}
		entry.remainingRounds = isPropagated ? UPDATE_ROUNDS : 0;
		if (isStateChange) {
			entry.stateSinceMs = nowMs;
		}
		return true;
	}

	void remove(InstanceId id) {
		this.entries.remove(id);
	}

	void recordHeartbeat(InstanceId id, AvailabilityZone zone, long nowMs) {
		Entry entry = this.entries.get(id);
		if (entry != null) {
			entry.lastHeartbeatMs = nowMs;
		}
		recordZoneContact(zone, nowMs);
	}

	void recordZoneContact(AvailabilityZone zone, long atMs) {
		this.lastZoneContactMs.merge(zone, atMs, Math::max);
	}

	long zoneAgeMs(AvailabilityZone zone, long nowMs) {
		return nowMs - this.lastZoneContactMs.getOrDefault(zone, nowMs);
	}

	Map<String, Long> zoneAgesMs(long nowMs) {
		Map<String, Long> ages = new TreeMap<>();
		this.lastZoneContactMs.forEach((zone, contactMs) -> ages.put(zone.value(), nowMs - contactMs));
		return ages;
	}

	/**
	 * Treats all instances and zones as if their last heartbeat had just been received
	 * and their state had just changed. Called after a pause of this process, during
	 * which it could not receive heartbeats.
	 * @param nowMs current time in milliseconds
	 */
	void resetSilenceTimers(long nowMs) {
		this.lastZoneContactMs.replaceAll((zone, contactMs) -> nowMs);
		for (Entry entry : this.entries.values()) {
			entry.lastHeartbeatMs = nowMs;
			entry.stateSinceMs = nowMs;
		}
	}

	/**
	 * Returns the changes for the next heartbeat and decrements their remaining rounds.
	 * @return at most {@link #MAX_UPDATES} updates
	 */
	List<MemberUpdate> nextUpdates() {
		List<MemberUpdate> updates = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.remainingRounds > 0 && updates.size() < MAX_UPDATES) {
				entry.remainingRounds--;
				updates.add(entry.update);
			}
		}
		return updates;
	}

	List<Entry> mergeListed(List<DirectoryEntry> listed) {
		Set<InstanceId> ids = new HashSet<>();
		listed.forEach((listedEntry) -> ids.add(listedEntry.id()));
		List<Entry> listedEntries = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			boolean isListed = ids.contains(entry.id());
			entry.delisted = entry.listed && !isListed;
			entry.listed = entry.listed || isListed;
			if (isListed) {
				listedEntries.add(entry);
			}
		}
		return listedEntries;
	}

	/**
	 * Returns the instances that the platform's list used to contain and no longer
	 * contains.
	 * @return entries that are not gone yet
	 */
	List<Entry> delistedEntries() {
		List<Entry> delisted = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.delisted && entry.state() != MemberState.GONE) {
				delisted.add(entry);
			}
		}
		return delisted;
	}

	List<MemberUpdate> presentUpdates() {
		List<MemberUpdate> updates = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (entry.state() != MemberState.GONE) {
				updates.add(entry.update);
			}
		}
		return updates;
	}

	/**
	 * Returns a hash of this instance and all others that are not gone. Two instances
	 * with the same members, of which the same ones are leaving, compute the same hash.
	 * @param self member record of this instance
	 * @return the hash
	 */
	long digest(Member self) {
		long digest = hash(self);
		for (Entry entry : this.entries.values()) {
			if (entry.state() != MemberState.GONE) {
				digest ^= hash(entry.update.member());
			}
		}
		return digest;
	}

	private static long hash(Member member) {
		String suffix = (member.state() == MemberState.LEAVING) ? "/leaving" : "";
		return HASH.hashChars(member.id().value() + suffix);
	}

	/**
	 * Latest update of an instance, with the local observations of that instance.
	 */
	static final class Entry {

		private MemberUpdate update;

		private int remainingRounds;

		private long lastHeartbeatMs;

		private long stateSinceMs;

		private boolean listed;

		private boolean delisted;

		private Entry(MemberUpdate update, long nowMs) {
			this.update = update;
			this.lastHeartbeatMs = nowMs;
			this.stateSinceMs = nowMs;
		}

		MemberUpdate update() {
			return this.update;
		}

		InstanceId id() {
			return this.update.member().id();
		}

		AvailabilityZone zone() {
			return this.update.member().availabilityZone();
		}

		MemberState state() {
			return this.update.member().state();
		}

		long lastHeartbeatMs() {
			return this.lastHeartbeatMs;
		}

		void setLastHeartbeatMs(long lastHeartbeatMs) {
			this.lastHeartbeatMs = lastHeartbeatMs;
		}

		long stateSinceMs() {
			return this.stateSinceMs;
		}

	}

}
