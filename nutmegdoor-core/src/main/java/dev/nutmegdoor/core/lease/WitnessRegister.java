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

	LeaseBeatAnswer beat(InstanceId holder, LeaseBeat beat, long nowMs) {
		Entry entry = this.entries.computeIfAbsent(holder, (id) -> new Entry());
		if (beat.epoch() <= entry.refusedEpoch) {
			return new LeaseBeatAnswer(false, entry.version);
		}
		entry.heardMs = nowMs;
		// A beat that starts from a version that this witness lacks would leave a gap.
		boolean isUsable = beat.version() > entry.version && beat.sinceVersion() <= entry.version;
		if (isUsable) {
			if (beat.sinceVersion() == VersionedHoldings.FROM_NOTHING) {
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
		boolean isRefused = request.epoch() <= entry.refusedEpoch;
		boolean isSilent = entry.heardMs == Long.MIN_VALUE
				|| nowMs - entry.heardMs > this.settings.ttlMs() + this.settings.marginMs();
		if (!isRefused && !isSilent) {
			return new ConcurrenceAnswer(false, entry.version, Map.of());
		}
		entry.refusedEpoch = Math.max(entry.refusedEpoch, request.epoch());
		return new ConcurrenceAnswer(true, entry.version, entry.holdings);
	}

	/**
	 * Restarts all measurements of silence, because this process was paused.
	 * @param nowMs current time
	 */
	void restartSilence(long nowMs) {
		for (Entry entry : this.entries.values()) {
			if (entry.heardMs != Long.MIN_VALUE) {
				entry.heardMs = nowMs;
			}
		}
	}

	Map<String, Long> silenceMs(long nowMs) {
		Map<String, Long> silence = new TreeMap<>();
		this.entries.forEach((holder, entry) -> {
			if (entry.heardMs != Long.MIN_VALUE) {
				silence.put(holder.value(), nowMs - entry.heardMs);
			}
		});
		return silence;
	}

	private static final class Entry {

		private final Map<String, Long> holdings = new TreeMap<>();

		private long heardMs = Long.MIN_VALUE;

		private long refusedEpoch;

		private long version;

	}

}
