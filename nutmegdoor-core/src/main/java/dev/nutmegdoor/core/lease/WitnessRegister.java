package dev.nutmegdoor.core.lease;

import java.util.Map;
import java.util.TreeMap;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * What this instance knows as a witness of others.
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
		// A beat that starts from a version that this witness lacks would leave a gap.
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
	 * Concurs in fencing a holder that has been silent for the life of its lease and the
	 * margin. A witness that never heard from the holder never acknowledged it.
	 * @param request the request
	 * @param nowMs current time
	 * @return the answer; after a concurrence the epoch is never acknowledged again
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
	 * Restarts all measurements of silence, because this process was paused.
	 * @param nowMs current time
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
