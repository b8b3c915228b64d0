package dev.nutmegdoor.experiment.faults;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.program.Safeguards;
import dev.nutmegdoor.experiment.soak.Load;
import dev.nutmegdoor.experiment.soak.SimCluster;

/**
 * Runs every step of every protocol with every kind of fault on virtual time.
 */
public final class FaultMatrix {

	private static final long START_MS = 6_000;

	private static final long WARM_UP_MS = 2_000;

	private static final long WORK_MS = 30_000;

	private static final int STEP_MS = 60;

	private final long seed;

	public FaultMatrix(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns the steps that no scenario leads to.
	 * @return the steps
	 */
	public static List<Step> missing() {
		return Arrays.stream(Step.values()).filter((step) -> !Scenarios.all().containsKey(step)).toList();
	}

	/**
	 * Runs one cell.
	 * @param step the step
	 * @param fault the fault
	 * @return the outcome
	 */
	public CellResult run(Step step, CellFault fault) {
		Consumer<SimCluster> scenario = Scenarios.all().get(step);
		if (scenario == null) {
			return new CellResult(step, fault, false, List.of());
		}
		SimCluster cluster = new SimCluster(this.seed, Safeguards.ALL, false);
		Load load = new Load(cluster, this.seed);
		cluster.timer().advance(START_MS);
		work(cluster, load, WARM_UP_MS);
		boolean[] reached = new boolean[1];
		cluster.armAll(step, (instance) -> {
			reached[0] = true;
			cluster.disarmAll();
			fault.cause(cluster, instance, step);
		});
		scenario.accept(cluster);
		work(cluster, load, WORK_MS);
		cluster.disarmAll();
		cluster.heal();
		load.finish();
		return new CellResult(step, fault, reached[0], cluster.violations());
	}

	private static void work(SimCluster cluster, Load load, long durationMs) {
		for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
			load.act();
			cluster.timer().advance(STEP_MS);
		}
	}

	/**
	 * Runs all cells.
	 * @param progress receives one line per step
	 * @return the outcomes
	 */
	public List<CellResult> runAll(Consumer<String> progress) {
		List<CellResult> results = new ArrayList<>();
		for (Step step : Step.values()) {
			List<CellResult> row = Arrays.stream(CellFault.values()).map((fault) -> run(step, fault)).toList();
			results.addAll(row);
			progress.accept(String.format("%-22s", step)
					+ row.stream().map((cell) -> cell.fault() + "=" + cell.mark()).collect(Collectors.joining(" ")));
		}
		return results;
	}

}
