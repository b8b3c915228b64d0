package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the reports of one other instance. Used by the control thread only.
 */
final class UsagePeer {

	private final Map<String, Long> admittedTotals = new HashMap<>();

	private String incarnation = "";

	private long lastReportMs;

	private long lastReturnMs = Long.MIN_VALUE / 2;

	UsagePeer(long nowMs) {
		this.lastReportMs = nowMs;
	}

	boolean isKnown(long nowMs, UsageSettings settings) {
		return nowMs - this.lastReportMs <= settings.forgetMs();
	}

	boolean isRecent(long nowMs, UsageSettings settings) {
		return nowMs - this.lastReportMs <= settings.suspectMs();
	}

	/**
	 * Returns whether the instance is reachable and its counts are up to date.
	 * @param nowMs current time in milliseconds
	 * @param settings maximum age of the last report, and the time after a gap
	 * @return {@code false} also after a gap, until the delayed reports have arrived
	 */
	boolean isReachable(long nowMs, UsageSettings settings) {
		return nowMs - this.lastReportMs <= settings.freshMs() && nowMs - this.lastReturnMs >= settings.returnMs();
	}

	/**
	 * Checks whether the counts of a report continue those of the last one. After a gap
	 * they do not, because both sides used only their fraction of the rate during the
	 * gap. Reports that were delayed by a network partition arrive together after it has
	 * healed and belong to the gap as well. The first report of an instance continues
	 * nothing; the counts of a restarted instance continue from 0. Must be called once
	 * for each report, before {@link #recordReport}.
	 * @param report report that was received
	 * @param nowMs current time in milliseconds
	 * @param settings maximum age of the last report, and the time after a gap
	 * @return {@code true} if the increase of the counts must be deducted from the
	 * buckets
	 */
	boolean checkContinuity(UsageReport report, long nowMs, UsageSettings settings) {
		if (!report.incarnation().equals(this.incarnation)) {
			this.admittedTotals.clear();
			return !this.incarnation.isEmpty();
		}
		if (nowMs - this.lastReportMs > settings.freshMs()) {
			this.lastReturnMs = nowMs;
		}
		return nowMs - this.lastReturnMs >= settings.returnMs();
	}

	/**
	 * Merges the counts of a report.
	 * @param report report that was received
	 * @return increase by workspace since the last report, from 0 for new workspaces
	 */
	Map<String, Long> merge(UsageReport report) {
		Map<String, Long> increases = new HashMap<>();
		report.admitted().forEach((workspace, total) -> {
			Long previousTotal = this.admittedTotals.put(workspace, total);
			increases.put(workspace, Math.max(0, total - ((previousTotal != null) ? previousTotal : 0)));
		});
		return increases;
	}

	void recordReport(UsageReport report, long nowMs) {
		this.incarnation = report.incarnation();
		this.lastReportMs = nowMs;
	}

	void recordDigest(long nowMs) {
		this.lastReportMs = nowMs;
	}

}
