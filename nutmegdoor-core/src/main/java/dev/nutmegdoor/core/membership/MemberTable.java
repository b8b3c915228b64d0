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
 * What is known of the other instances.
 */
final class MemberTable {

	/** Heartbeats that carry a change; the flood reaches nearly all instances before. */
	private static final int UPDATE_ROUNDS = 5;

	/**
	 * Bounds a heartbeat to about 1 KB when many instances change at once.
	 */
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
	 * Takes an update of another instance.
	 * @param update the update
	 * @param nowMs current time
	 * @param isPropagated whether to pass it on with heartbeats
	 * @return {@code true} if it was news
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
			// The first version of an instance known from the list is no news.
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
	 * Restarts all measurements of silence after a pause of this process.
	 * @param nowMs current time
	 */
	void resetSilenceTimers(long nowMs) {
		this.lastZoneContactMs.replaceAll((zone, contactMs) -> nowMs);
		for (Entry entry : this.entries.values()) {
			entry.lastHeartbeatMs = nowMs;
			entry.stateSinceMs = nowMs;
		}
	}

	/**
	 * Returns the changes for the next heartbeat and counts the round.
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
	 * Returns the instances that the platform's list used to show and no longer shows.
	 * @return the instances that are not gone yet
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
	 * Returns a hash of the instances that are present, equal on all instances that know
	 * the same ones.
	 * @param self own entry
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
	 * An instance with what this process observed of it.
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
