package dev.nutmegdoor.experiment.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Figures of one run by name.
 */
final class RunResult {

	private RunResult() {
	}

	static Map<String, Double> of(Simulation simulation, RunMetrics metrics, Map<String, Long> aloneMs,
			Scenario scenario) {
		Map<String, Double> figures = new LinkedHashMap<>();
		double[] latencies = metrics.latenciesMs().values().stream().mapToDouble(Long::doubleValue).sorted().toArray();
		figures.put("program_latency_ms.p50", quantile(latencies, 0.5));
		figures.put("program_latency_ms.p95", quantile(latencies, 0.95));
		figures.put("program_latency_ms.p99", quantile(latencies, 0.99));
		figures.put("worst_workspace_slowdown", worstSlowdown(metrics, aloneMs, scenario));
		figures.put("wasted_cache_fraction", metrics.wastedFraction());
		figures.put("first_token_ms.p95", metrics.firstTokenP95());
		figures.put("between_tokens_ms.p95", metrics.nextTokenP95());
		figures.put("refused_within_rate", metrics.refusedWithinRate());
		figures.put("programs_failed", (double) metrics.failedPrograms());
		figures.put("control_messages_per_s", simulation.controlMessagesPerSecond());
		return figures;
	}

	private static double worstSlowdown(RunMetrics metrics, Map<String, Long> aloneMs, Scenario scenario) {
		double worst = 0;
		for (int workspace = 0; workspace < Deployment.WORKSPACE_SHARES.length; workspace++) {
			if (scenario == Scenario.HEAVY && workspace == Deployment.HEAVY_WORKSPACE) {
				continue;
			}
			int index = workspace;
			double[] slowdowns = metrics.latenciesMs()
				.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().workspace() == index)
				.mapToDouble((entry) -> (double) entry.getValue()
						/ Math.max(1, aloneMs.getOrDefault(entry.getKey().name(), Long.MAX_VALUE)))
				.sorted()
				.toArray();
			worst = Math.max(worst, quantile(slowdowns, 0.95));
		}
		return worst;
	}

	static double quantile(double[] sorted, double quantile) {
		if (sorted.length == 0) {
			return 0;
		}
		int index = (int) Math.ceil(quantile * sorted.length) - 1;
		return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
	}

}
