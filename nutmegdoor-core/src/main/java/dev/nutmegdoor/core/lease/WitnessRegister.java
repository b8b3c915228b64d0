package dev.nutmegdoor.core.lease;

import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Tracks the leases of other instances for which this instance is a witness: their last
 * heartbeat, their holdings and the epochs that it no longer acknowledges.
 */
final class WitnessRegister {

	private final LeaseSettings settings;

	private final Map<InstanceId, Entry> entries = new TreeMap<>();

	WitnessRegister(LeaseSettings settings) {
		this.settings = settings;
	}

	LeaseBeatAnswer receiveBeat(InstanceId holder, LeaseBeat beat, long nowMs) {
		Entry entry = this.entries.computeIfAbsent(holder, (id) -> new Entry());
		if (beat.epoch() <= entry.concurredEpoch) {
			return new LeaseBeatAnswer(false, entry.version);
		}
		entry.lastBeatMs = nowMs;
		// Changes relative to a version newer than the stored one would leave a gap.
		boolean isApplicable = beat.version() > entry.version && beat.sinceVersion() <= entry.version;
		if (isApplicable) {
			if (beat.sinceVersion() == VersionedHoldings.ALL_ENTRIES) {
				entry.holdings.clear();
			}
			entry.holdings.putAll(beat.changes());
			entry.holdings.values().removeIf((value) -> value == 0);
			entry.version = beat.version();
		}
		return new LeaseBeatAnswer(true, entry.version);
	}

	/**
	 * Concurs in fencing a holder from which this witness has received no heartbeat for
	 * the lease term and the margin. A witness that never received a heartbeat concurs as
	 * well, because it has never acknowledged one. After a concurrence, the epoch is
	 * never acknowledged again.
	 * @param request identifies the holder and the epoch
	 * @param nowMs current time in milliseconds
	 * @return the reply, with the stored holdings if this witness concurs
	 */
	ConcurrenceAnswer concur(ConcurrenceRequest request, long nowMs) {
		Entry entry = this.entries.computeIfAbsent(request.holder(), (id) -> new Entry());
		boolean hasConcurred = request.epoch() <= entry.concurredEpoch;
		boolean isUnresponsive = entry.lastBeatMs == Long.MIN_VALUE
				|| nowMs - entry.lastBeatMs > this.settings.ttlMs() + this.settings.marginMs();
		if (!hasConcurred && !isUnresponsive) {
			return new ConcurrenceAnswer(false, entry.version, Map.of());
		}
		entry.concurredEpoch = Math.max(entry.concurredEpoch, request.epoch());
		return new ConcurrenceAnswer(true, entry.version, entry.holdings);
	}

	/**
	 * Treats all holders as if their last heartbeat had just been received. Called after
	 * a pause of this process, during which it could not receive heartbeats.
	 * @param nowMs current time in milliseconds
	 */
	void resetSilenceTimers(long nowMs) {
		for (Entry entry : this.entries.values()) {
			if (entry.lastBeatMs != Long.MIN_VALUE) {
				entry.lastBeatMs = nowMs;
			}
		}
	}

	Map<String, Long> sinceLastBeatMs(long nowMs) {
		Map<String, Long> sinceLastBeatMsByHolder = new TreeMap<>();
		this.entries.forEach((holder, entry) -> {
			if (entry.lastBeatMs != Long.MIN_VALUE) {
				sinceLastBeatMsByHolder.put(holder.value(), nowMs - entry.lastBeatMs);
			}
		});
		return sinceLastBeatMsByHolder;
	}

	private static final class Entry {

		private final Map<String, Long> holdings = new TreeMap<>();

		private long lastBeatMs = Long.MIN_VALUE;

		private long concurredEpoch;

		private long version;

	}

}
