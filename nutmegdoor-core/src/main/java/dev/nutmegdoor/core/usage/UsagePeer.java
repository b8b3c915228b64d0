package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of another instance.
 */
final class UsagePeer {

	final Map<String, Long> admittedTotals = new HashMap<>();

	private String incarnation = "";

	private long lastReportMs;

	private long lastReturnMs = Long.MIN_VALUE / 2;

	UsagePeer(long nowMs) {
		this.lastReportMs = nowMs;
	}

	boolean isKnown(long nowMs, UsageSettings settings) {
		return nowMs - this.lastReportMs <= settings.forgetMs();
	}

	/**
	 * Returns whether the instance can be reached and its counts are up to date.
	 * @param nowMs present time in milliseconds
	 * @param settings figures of the exchange
	 * @return {@code false} after a gap until the reports that it held up have arrived
	 */
	boolean isReachable(long nowMs, UsageSettings settings) {
		return nowMs - this.lastReportMs <= settings.freshMs() && nowMs - this.lastReturnMs >= settings.returnMs();
	}

	/**
	 * Returns whether the counts of a report continue those of the last one. After a gap
	 * they do not: both sides used only their part of the rate in between. The reports
	 * that a cut has held up arrive together after its end and belong to the gap as well.
	 * @param report the report
	 * @param nowMs present time in milliseconds
	 * @param settings figures of the exchange
	 * @return {@code true} if the difference of the counts is to be taken from the
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

	void recordReport(UsageReport report, long nowMs) {
		this.incarnation = report.incarnation();
		this.lastReportMs = nowMs;
	}

}
