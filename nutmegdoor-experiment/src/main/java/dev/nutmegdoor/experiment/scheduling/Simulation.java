package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.List;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * One run of one policy over given arrivals.
 */
final class Simulation {

	static final long ARRIVALS_MS = 420_000;

	/**
	 * Long programs, which are most of the work, need three minutes to reach their share.
	 */
	static final long WARM_UP_MS = 180_000;

	/** Programs that have not ended by then count as failed. */
	private static final long HORIZON_MS = 1_500_000;

	private final Deployment deployment;

	private final Scenario scenario;

	private final long seed;

	private long controlMessages;

	private long endedMs;

	Simulation(Deployment deployment, Scenario scenario, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.seed = seed;
	}

	static List<ProgramSpec> arrivals(long seed, double load, Scenario scenario) {
		WorkloadGenerator generator = new WorkloadGenerator(seed);
		List<ProgramSpec> programs = new ArrayList<>();
		for (int workspace = 0; workspace < Deployment.WORKSPACE_SHARES.length; workspace++) {
			boolean isHeavy = scenario == Scenario.HEAVY && workspace == Deployment.HEAVY_WORKSPACE;
			programs.addAll(generator.generate(workspace, load, isHeavy ? 5 : 1, ARRIVALS_MS));
		}
		return programs;
	}

	RunMetrics run(Policy policy, List<ProgramSpec> programs) {
		SimulatedCluster cluster = new SimulatedCluster(this.deployment, this.scenario, policy.isInformationPerfect(),
				this.seed);
		ProgramRegistry registry = new ProgramRegistry();
		PolicyRun run = policy.start(cluster, registry, this.seed);
		RunMetrics metrics = new RunMetrics(WARM_UP_MS, this.scenario == Scenario.HEAVY);
		cluster.schedule(this.scenario, ARRIVALS_MS);
		int[] open = { programs.size() };
		for (ProgramSpec program : programs) {
			ProgramId id = ProgramDriver.idOf(program);
			cluster.timer.schedule(program.arrivalMs(),
					() -> new ProgramDriver(cluster, run, registry, metrics, program, id, () -> open[0]--).start());
		}
		while (open[0] > 0 && cluster.timer.nowMs() < HORIZON_MS && cluster.timer.runNext()) {
			this.endedMs = cluster.timer.nowMs();
		}
		programs.forEach((program) -> metrics.programUnfinished(program, this.endedMs));
		this.controlMessages = run.controlMessages();
		return metrics;
	}

	double controlMessagesPerSecond() {
		return this.controlMessages * 1_000.0 / Math.max(1, this.endedMs);
	}

}
