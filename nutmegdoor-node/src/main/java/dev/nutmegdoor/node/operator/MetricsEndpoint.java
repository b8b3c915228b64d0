package dev.nutmegdoor.node.operator;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;

/**
 * Serves metrics as text: one line of name and value each, in the order of names.
 */
public final class MetricsEndpoint {

	private final MetricRegistry registry;

	public MetricsEndpoint(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Returns the operation.
	 * @return endpoint of the operator API
	 */
	public OperatorEndpoint endpoint() {
		return OperatorEndpoint.get("/operator/v1/metrics", (request) -> CompletableFuture.completedFuture(render()));
	}

	String render() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Metric> entry : new TreeMap<>(this.registry.getMetrics()).entrySet()) {
			append(text, entry.getKey(), entry.getValue());
		}
		return text.toString();
	}

	private static void append(StringBuilder text, String name, Metric metric) {
		if (metric instanceof Gauge<?> gauge) {
			line(text, name, gauge.getValue());
		}
		if (metric instanceof Counting counting) {
			line(text, name + ".count", counting.getCount());
		}
		if (metric instanceof Sampling sampling) {
			Snapshot snapshot = sampling.getSnapshot();
			line(text, name + ".p50", snapshot.getMedian());
			line(text, name + ".p95", snapshot.get95thPercentile());
			line(text, name + ".p99", snapshot.get99thPercentile());
		}
	}

	private static void line(StringBuilder text, String name, Object value) {
		String shown = (value instanceof Double number) ? String.format(Locale.ROOT, "%.3f", number)
				: String.valueOf(value);
		text.append(name).append(' ').append(shown).append('\n');
	}

}
