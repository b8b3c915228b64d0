package dev.nutmegdoor.node.process;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Formats metrics in the text format of Prometheus: lines of a name and a number.
 */
public final class MetricsText {

	private static final double MEDIAN = 0.5;

	private static final double P95 = 0.95;

	private static final double P99 = 0.99;

	private MetricsText() {
	}

	/**
	 * Formats all metrics. Gauges without a numeric value are skipped; timers are in
	 * milliseconds.
	 * @param metrics counters, gauges and timers
	 * @param invariants numbers of checks and violations
	 * @return text in which each line ends with a line feed
	 */
	public static String of(MetricRegistry metrics, InvariantRegistry invariants) {
		StringBuilder text = new StringBuilder();
		metrics.getCounters()
			.forEach((name, counter) -> appendLine(text, name + "_total", (double) counter.getCount()));
		metrics.getGauges().forEach((name, gauge) -> {
			if (gauge.getValue() instanceof Number number) {
				appendLine(text, name, number.doubleValue());
			}
		});
		metrics.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			appendLine(text, name + "_ms_count", (double) timer.getCount());
			appendLine(text, name + "_ms{quantile=\"0.5\"}", toMilliseconds(snapshot.getValue(MEDIAN)));
			appendLine(text, name + "_ms{quantile=\"0.95\"}", toMilliseconds(snapshot.getValue(P95)));
			appendLine(text, name + "_ms{quantile=\"0.99\"}", toMilliseconds(snapshot.getValue(P99)));
		});
		for (Invariant invariant : Invariant.values()) {
			String name = invariant.name().toLowerCase(Locale.ROOT);
			appendLine(text, "invariant_checked_total{name=\"" + name + "\"}", (double) invariants.checked(invariant));
			appendLine(text, "invariant_violated_total{name=\"" + name + "\"}",
					(double) invariants.violated(invariant));
		}
		return text.toString();
	}

	private static double toMilliseconds(double nanoseconds) {
		return nanoseconds / TimeUnit.MILLISECONDS.toNanos(1);
	}

	private static void appendLine(StringBuilder text, String name, double value) {
		int braceIndex = name.indexOf('{');
		String sanitizedName = ((braceIndex >= 0) ? name.substring(0, braceIndex) : name).replace('.', '_')
			.replace('-', '_');
		text.append("nutmegdoor_").append(sanitizedName).append((braceIndex >= 0) ? name.substring(braceIndex) : "");
		text.append(' ').append(value).append('\n');
	}

}
