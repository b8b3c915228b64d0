package dev.nutmegdoor.core.usage;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of another instance.
 */
final class UsagePeer {

	final Map<String, Long> totals = new HashMap<>();

	private String incarnation = "";

	private long heardMs;

	private long returnedMs = Long.MIN_VALUE / 2;

	UsagePeer(long nowMs) {
		this.heardMs = nowMs;
	}

	boolean isKnown(long nowMs, UsageSettings settings) {
		return nowMs - this.heardMs <= settings.forgetMs();
	}

	/**
	 * Returns whether the instance can be reached and its counts are up to date.
	 * @param nowMs present time in milliseconds
	 * @param settings figures of the exchange
	 * @return {@code false} after a gap until the reports that it held up have arrived
	 */
	boolean isReachable(long nowMs, UsageSettings settings) {
		return nowMs - this.heardMs <= settings.freshMs() && nowMs - this.returnedMs >= settings.returnMs();
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
	boolean isContinuous(UsageReport report, long nowMs, UsageSettings settings) {
		if (!report.incarnation().equals(this.incarnation)) {
			this.totals.clear();
			return !this.incarnation.isEmpty();
		}
		if (nowMs - this.heardMs > settings.freshMs()) {
			this.returnedMs = nowMs;
		}
		return nowMs - this.returnedMs >= settings.returnMs();
	}

	void reported(UsageReport report, long nowMs) {
		this.incarnation = report.incarnation();
		this.heardMs = nowMs;
	}

}
