package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs all policies over the same arrivals on virtual time.
 */
public final class SchedulingExperiment {

	/** 97.5 % quantiles of Student's t distribution for 1 to 30 degrees of freedom. */
	private static final double[] STUDENT_T = { 12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18,
			2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05,
			2.04 };

	private static final int[] DECISION_COST_REPLICAS = { 60, 600, 6_000 };

	private final SchedulingOptions options;

	/**
	 * Creates the experiment.
	 * @param options what to run
	 */
	public SchedulingExperiment(SchedulingOptions options) {
		this.options = options;
	}

	/**
	 * Runs everything.
	 * @return one row for each policy, scenario and load
	 */
	public List<ResultRow> run() {
		ExecutorService executor = Executors.newFixedThreadPool(this.options.threads());
		try {
			List<Future<Map<String, Map<String, Double>>>> futures = new ArrayList<>();
			for (double load : this.options.loads()) {
				for (int i = 0; i < this.options.seeds(); i++) {
					long seed = this.options.firstSeed() + i;
					Callable<Map<String, Map<String, Double>>> task = () -> runSeed(seed, load);
					futures.add(executor.submit(task));
				}
			}
			Map<String, List<Map<String, Double>>> byRow = new LinkedHashMap<>();
			for (Future<Map<String, Map<String, Double>>> future : futures) {
				future.get()
					.forEach((key, figures) -> byRow.computeIfAbsent(key, (name) -> new ArrayList<>()).add(figures));
			}
			List<ResultRow> rows = new ArrayList<>();
			byRow.forEach((key, figures) -> rows.add(row(key, figures)));
			for (int replicas : DECISION_COST_REPLICAS) {
				rows.add(DecisionCost.measure(replicas));
			}
			return rows;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while runs were in progress", ex);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a run failed", ex.getCause());
		}
		finally {
			executor.shutdownNow();
		}
	}

	private Map<String, Map<String, Double>> runSeed(long seed, double load) {
		Map<String, Long> aloneMs = runAlone(seed, load);
		Map<String, Map<String, Double>> results = new LinkedHashMap<>();
		for (Scenario scenario : this.options.scenarios()) {
			List<ProgramSpec> programs = Simulation.arrivals(seed, load, scenario);
			for (Policy policy : this.options.policies()) {
				Simulation simulation = new Simulation(this.options.deployment(), scenario, seed);
				RunMetrics metrics = simulation.run(policy, programs);
				results.put(policy.label() + "/" + scenario.label() + "/" + load,
						RunResult.of(simulation, metrics, aloneMs, scenario));
			}
		}
		return results;
	}

	// Each workspace alone on all engines, under the ideal policy.
	private Map<String, Long> runAlone(long seed, double load) {
		Map<String, Long> aloneMs = new HashMap<>();
		List<ProgramSpec> all = Simulation.arrivals(seed, load, Scenario.CALM);
		for (int workspace = 0; workspace < Deployment.WORKSPACE_SHARES.length; workspace++) {
			int index = workspace;
			List<ProgramSpec> own = all.stream().filter((program) -> program.workspace() == index).toList();
			Simulation simulation = new Simulation(this.options.deployment(), Scenario.CALM, seed);
			simulation.run(Policy.IDEAL, own)
				.latenciesMs()
				.forEach((program, latencyMs) -> aloneMs.put(program.name(), latencyMs));
		}
		return aloneMs;
	}

	private static ResultRow row(String key, List<Map<String, Double>> figures) {
		String[] parts = key.split("/");
		Map<String, Double> mean = new LinkedHashMap<>();
		Map<String, Double> confidence = new LinkedHashMap<>();
		int count = figures.size();
		for (String name : figures.get(0).keySet()) {
			double[] values = figures.stream().mapToDouble((run) -> run.getOrDefault(name, 0.0)).toArray();
			double sum = 0;
			for (double value : values) {
				sum += value;
			}
			double average = sum / count;
			double squares = 0;
			for (double value : values) {
				squares += (value - average) * (value - average);
			}
			mean.put(name, average);
			double t = (count > 1) ? STUDENT_T[Math.min(STUDENT_T.length, count - 1) - 1] : 0;
			confidence.put(name, (count > 1) ? t * Math.sqrt(squares / (count - 1) / count) : 0);
		}
		return new ResultRow(parts[0], parts[1], Double.parseDouble(parts[2]), count, mean, confidence);
	}

}
