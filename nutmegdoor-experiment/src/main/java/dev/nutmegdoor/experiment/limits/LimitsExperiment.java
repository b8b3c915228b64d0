package dev.nutmegdoor.experiment.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs all mechanisms in all scenarios on the same arrivals.
 */
public final class LimitsExperiment {

	private LimitsExperiment() {
	}

	/**
	 * Runs the comparison.
	 * @param seeds number of seeds, from 1 on
	 * @return a row for each scenario and mechanism
	 */
	public static List<LimitRow> run(int seeds) {
		List<LimitRow> rows = new ArrayList<>();
		for (LimitScenario scenario : LimitScenario.values()) {
			for (LimitMechanism mechanism : LimitMechanism.values()) {
				List<LimitOutcome> outcomes = new ArrayList<>();
				for (int seed = 1; seed <= seeds; seed++) {
					outcomes.add(run(mechanism, scenario, seed));
				}
				rows.add(LimitRow.summarize(mechanism, scenario, outcomes));
			}
		}
		return rows;
	}

	static LimitOutcome run(LimitMechanism mechanism, LimitScenario scenario, long seed) {
		LimitWorkload workload = LimitWorkload.create(scenario, seed);
		return switch (mechanism) {
			case STATIC_SPLIT, CENTRAL_BUCKET -> new BaselineRun(mechanism, workload, scenario).run();
			case SHIPPED -> new ShippedRun(workload, scenario, seed).run();
		};
	}

}
