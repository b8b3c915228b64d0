package dev.nutmegdoor.experiment.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Workspaces and arrivals of a run. All mechanisms get the same arrivals.
 *
 * @param workspaces the workspaces, the largest first
 * @param arrivals the arrivals by time
 */
record LimitWorkload(List<Workspace> workspaces, List<Arrival> arrivals) {

	/** Load of a workspace that stays within its rate. */
	private static final double CALM_LOAD = 0.6;

	private static final double HEAVY_LOAD = 5;

	private static final double[] RATES = { 60, 40, 30, 10, 5, 2, 2, 1 };

	private static final int[] BURSTS = { 120, 80, 60, 20, 10, 5, 3, 3 };

	static LimitWorkload create(LimitScenario scenario, long seed) {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		List<Workspace> workspaces = new ArrayList<>();
		List<Arrival> arrivals = new ArrayList<>();
		for (int i = 0; i < RATES.length; i++) {
			WorkspaceId id = new WorkspaceId("w" + i);
			workspaces.add(new Workspace(id, RATES[i], BURSTS[i], 1, Map.of(), ProgramBudget.DEFAULT));
			boolean isHeavy = i == 0 && scenario == LimitScenario.HEAVY_TENANT;
			double perMs = RATES[i] * (isHeavy ? HEAVY_LOAD : CALM_LOAD) / 1000;
			ZigguratSampler.Exponential gap = ZigguratSampler.Exponential.of(random, 1 / perMs);
			for (double atMs = gap.sample(); atMs < LimitScenario.DURATION_MS; atMs += gap.sample()) {
				arrivals.add(new Arrival((long) atMs, id, random.nextDouble()));
			}
		}
		arrivals.sort(Comparator.comparingLong(Arrival::atMs));
		return new LimitWorkload(workspaces, arrivals);
	}

	Configuration configuration() {
		Map<WorkspaceId, Workspace> byId = new TreeMap<>();
		this.workspaces.forEach((workspace) -> byId.put(workspace.id(), workspace));
		return new Configuration(1, byId, Map.of(), Map.of(), Map.of(), Map.of());
	}

	/**
	 * One request.
	 *
	 * @param atMs time from the start in milliseconds
	 * @param workspace its workspace
	 * @param pick random number from 0 to 1 by which the balancer chooses an instance
	 */
	record Arrival(long atMs, WorkspaceId workspace, double pick) {

		int pickOf(int size) {
			return Math.min(size - 1, (int) (this.pick * size));
		}

	}

}
