package dev.nutmegdoor.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Crashes of replicas that had requests of one content or object, merged from all
 * instances. Not thread-safe.
 */
final class CrashHistory {

	/**
	 * Time in milliseconds within which two crashes of a replica are the same one, as
	 * seen by two instances. A replica takes longer to start again.
	 */
	private static final long SAME_CRASH_MS = 1_000;

	/**
	 * Time in milliseconds within which crashes of several replicas count once: a failure
	 * of a rack or a switch ends them together, whatever they run.
	 */
	private static final long COMMON_CAUSE_MS = 20;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	/** Older crashes are not kept, since the newest decide. */
	private static final int MAX_CRASHES = 8;

	private final List<Crash> crashes = new ArrayList<>();

	private long completedMs = NEVER_MS;

	/**
	 * Adds a crash.
	 * @param replica the replica
	 * @param sentMs time at which the request was sent to it in milliseconds
	 * @param crashedMs time of the crash in milliseconds
	 * @return whether the crash is new
	 */
	boolean add(UpstreamId replica, long sentMs, long crashedMs) {
		if (crashedMs <= this.completedMs) {
			return false;
		}
		for (Crash crash : this.crashes) {
			if (crash.replica.equals(replica) && Math.abs(crash.crashedMs - crashedMs) < SAME_CRASH_MS) {
				return false;
			}
		}
		Crash added = new Crash(replica, sentMs, crashedMs);
		this.crashes.add(added);
		this.crashes.sort(Comparator.comparingLong(Crash::crashedMs));
		return this.crashes.size() <= MAX_CRASHES || !this.crashes.remove(0).equals(added);
	}

	/**
	 * Records that a replica has completed the request, which clears it of all earlier
	 * crashes.
	 * @param nowMs time of the completion in milliseconds
	 * @return whether there were earlier crashes
	 */
	boolean complete(long nowMs) {
		if (this.crashes.isEmpty()) {
			return false;
		}
		this.completedMs = Math.max(this.completedMs, nowMs);
		return this.crashes.removeIf((crash) -> crash.crashedMs <= nowMs);
	}

	/**
	 * Returns the number of crashes that can't have a common cause other than the
	 * request: it was sent after the crash before, or the crashes are apart in time.
	 * @return number of independent crashes
	 */
	int independentCrashes() {
		int count = 0;
		Crash last = null;
		for (Crash crash : this.crashes) {
			if (last == null || crash.isIndependentOf(last)) {
				count++;
				last = crash;
			}
		}
		return count;
	}

	/**
	 * Returns the time of the last crash or completion.
	 * @return time in milliseconds, long ago if there is neither
	 */
	long changedMs() {
		long lastCrashMs = this.crashes.isEmpty() ? NEVER_MS : this.crashes.get(this.crashes.size() - 1).crashedMs;
		return Math.max(lastCrashMs, this.completedMs);
	}

	boolean merge(SuspectRequest suspect, long nowMs) {
		Long completedAgeMs = suspect.completedAgeMs();
		boolean isChanged = completedAgeMs != null && complete(nowMs - completedAgeMs);
		for (ReplicaCrash crash : suspect.crashes()) {
			isChanged |= add(crash.replica(), nowMs - crash.sentAgeMs(), nowMs - crash.ageMs());
		}
		return isChanged;
	}

	SuspectRequest toSuspect(long key, long nowMs) {
		List<ReplicaCrash> shared = this.crashes.stream()
			.map((crash) -> new ReplicaCrash(crash.replica, nowMs - crash.sentMs, nowMs - crash.crashedMs))
			.toList();
		@Nullable Long completedAgeMs = (this.completedMs > NEVER_MS) ? nowMs - this.completedMs : null;
		return new SuspectRequest(key, shared, completedAgeMs);
	}

	private record Crash(UpstreamId replica, long sentMs, long crashedMs) {

		private boolean isIndependentOf(Crash earlier) {
			return this.sentMs >= earlier.crashedMs || this.crashedMs - earlier.crashedMs > COMMON_CAUSE_MS;
		}

	}

}
