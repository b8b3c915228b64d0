package dev.nutmegdoor.core.watch;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.store.StoreHealth;

/**
 * What a watching instance reports of its latest outage. If the store answered this
 * process meanwhile, the outage was one of that instance and not of the store.
 */
final class ReportedOutage {

	private long startMs = WatchSource.NEVER_MS;

	private long endMs = WatchSource.NEVER_MS;

	private boolean isOngoing;

	private boolean isRefuted;

	/**
	 * Records a report.
	 * @param sinceOutageMs time since the end of the outage in milliseconds, 0 while it
	 * continues, {@code null} if there was none
	 * @param health calls of this process
	 * @param nowMs current time in milliseconds
	 */
	void update(@Nullable Long sinceOutageMs, StoreHealth health, long nowMs) {
		boolean isContinued = this.isOngoing;
		this.isOngoing = sinceOutageMs != null && sinceOutageMs == 0;
		this.endMs = (sinceOutageMs != null) ? nowMs - sinceOutageMs : WatchSource.NEVER_MS;
		if (this.isOngoing && !isContinued) {
			this.startMs = nowMs - StoreHealth.MIN_OUTAGE_MS;
			this.isRefuted = false;
		}
		if (this.isOngoing || isContinued) {
			this.isRefuted |= health.hasAnsweredSince(this.startMs);
		}
	}

	boolean isObserved() {
		return this.endMs != WatchSource.NEVER_MS && !this.isRefuted;
	}

	long startMs() {
		return Math.min(this.startMs, this.endMs);
	}

	long endMs(long nowMs) {
		return this.isOngoing ? nowMs : this.endMs;
	}

}
