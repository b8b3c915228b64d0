package dev.nutmegdoor.experiment.scheduling;

import java.util.List;

/**
 * What the experiment runs.
 *
 * @param deployment deployment
 * @param loads offered work over capacity
 * @param firstSeed first seed
 * @param seeds number of seeds
 * @param policies policies to compare
 * @param scenarios scenarios to run
 * @param threads runs at a time
 */
public record SchedulingOptions(Deployment deployment, List<Double> loads, long firstSeed, int seeds,
		List<Policy> policies, List<Scenario> scenarios, int threads) {

	public SchedulingOptions {
		loads = List.copyOf(loads);
		policies = List.copyOf(policies);
		scenarios = List.copyOf(scenarios);
	}

}
