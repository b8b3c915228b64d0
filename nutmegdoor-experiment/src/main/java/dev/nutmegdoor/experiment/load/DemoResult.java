package dev.nutmegdoor.experiment.load;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Outcome of a demonstration.
 *
 * @param settings settings of the run
 * @param programLatencyMs program latency
 * @param firstTokenP95Ms time to the first token at the 95th percentile
 * @param betweenTokensP95Ms time between tokens at the 95th percentile
 * @param wastedCacheFraction part of the prompt tokens computed before that were computed
 * again
 * @param slowdowns slowdown of each workspace within its rate at the 95th percentile
 * @param requests requests sent
 * @param withinRate requests within the rate of their workspace
 * @param refusedWithinRate of these, the number refused for their rate
 * @param programs programs finished
 * @param abandonedPrograms programs that did not finish
 * @param problems problems by name
 * @param lost requests that stayed without an answer, and operations that were
 * acknowledged but never carried out
 * @param duplicated operations carried out more than once
 * @param checked checks by invariant
 * @param violated violations by invariant
 * @param violations descriptions of violations
 */
public record DemoResult(DemoSettings settings, LatencySummary programLatencyMs, double firstTokenP95Ms,
		double betweenTokensP95Ms, double wastedCacheFraction, Map<WorkspaceId, Double> slowdowns, long requests,
		long withinRate, long refusedWithinRate, long programs, long abandonedPrograms, Map<String, Long> problems,
		long lost, long duplicated, Map<Invariant, Long> checked, Map<Invariant, Long> violated,
		List<String> violations) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static Map<Invariant, Long> sum(List<InvariantRegistry> registries, boolean isViolated) {
		Map<Invariant, Long> sums = new EnumMap<>(Invariant.class);
		for (Invariant invariant : Invariant.values()) {
			sums.put(invariant,
					registries.stream()
						.mapToLong(
								(registry) -> isViolated ? registry.violated(invariant) : registry.checked(invariant))
						.sum());
		}
		return sums;
	}

	/**
	 * Returns whether no invariant was violated, nothing was lost and nothing happened
	 * twice.
	 * @return {@code true} if so
	 */
	public boolean isClean() {
		return this.lost == 0 && this.duplicated == 0
				&& this.violated.values().stream().allMatch((count) -> count == 0);
	}

	private double worstSlowdown() {
		return this.slowdowns.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
	}

	private String worstWorkspace() {
		return this.slowdowns.entrySet()
			.stream()
			.max(Map.Entry.comparingByValue())
			.map((entry) -> entry.getKey().value())
			.orElse("-");
	}

	/**
	 * Returns the result as one JSON object.
	 * @return the object
	 */
	public String toJson() {
		ObjectNode root = MAPPER.createObjectNode()
			.put("deployment", name())
			.put("seconds", this.settings.seconds())
			.put("seed", this.settings.seed());
		root.putObject("program_latency_ms")
			.put("p50", this.programLatencyMs.p50())
			.put("p95", this.programLatencyMs.p95())
			.put("p99", this.programLatencyMs.p99());
		root.putObject("first_token_ms").put("p95", this.firstTokenP95Ms);
		root.putObject("between_tokens_ms").put("p95", this.betweenTokensP95Ms);
		root.put("worst_workspace_slowdown", worstSlowdown())
			.put("worst_workspace", worstWorkspace())
			.put("requests", this.requests)
			.put("within_rate", this.withinRate)
			.put("refused_within_rate", this.refusedWithinRate)
			.put("wasted_cache_fraction", this.wastedCacheFraction)
			.put("programs", this.programs)
			.put("abandoned_programs", this.abandonedPrograms);
		ObjectNode invariants = root.putObject("invariants");
		this.checked.forEach((invariant, count) -> invariants.putObject(invariant.name().toLowerCase(Locale.ROOT))
			.put("checked", count)
			.put("violated", this.violated.getOrDefault(invariant, 0L)));
		ObjectNode problemCounts = root.putObject("problems");
		this.problems.forEach(problemCounts::put);
		root.put("lost", this.lost).put("duplicated", this.duplicated);
		return root.toString();
	}

	/**
	 * Returns the result as a table.
	 * @return lines of text
	 */
	public String toTable() {
		StringBuilder table = new StringBuilder(String.format("deployment %s, %d s, seed %d%n%n", name(),
				this.settings.seconds(), this.settings.seed()));
		row(table, "program latency p50 / p95 / p99", String.format("%.0f / %.0f / %.0f ms",
				this.programLatencyMs.p50(), this.programLatencyMs.p95(), this.programLatencyMs.p99()));
		row(table, "first token p95", String.format("%.0f ms", this.firstTokenP95Ms));
		row(table, "between tokens p95", String.format("%.1f ms", this.betweenTokensP95Ms));
		row(table, "wasted cache", String.format("%.1f %%", 100 * this.wastedCacheFraction));
		row(table, "worst-served workspace", String.format("%s, slowdown p95 %.2f", worstWorkspace(), worstSlowdown()));
		row(table, "refused although within the rate", this.refusedWithinRate + " of " + this.withinRate);
		row(table, "requests", this.requests + ", problems " + this.problems);
		row(table, "programs", this.programs + " finished, " + this.abandonedPrograms + " abandoned");
		row(table, "lost / duplicated", this.lost + " / " + this.duplicated);
		table.append(String.format("%n%-36s %10s %10s%n", "invariant", "checked", "violated"));
		this.checked.forEach((invariant, count) -> table.append(String.format("%-36s %10s %10d%n", invariant,
				(count > 0) ? Long.toString(count) : "not covered", this.violated.getOrDefault(invariant, 0L))));
		this.violations.forEach((violation) -> table.append("violation: ").append(violation).append('\n'));
		return table.toString();
	}

	private static void row(StringBuilder table, String name, String value) {
		table.append(String.format("%-36s ", name)).append(value).append('\n');
	}

	private String name() {
		return this.settings.deployment().name().toLowerCase(Locale.ROOT);
	}

}
