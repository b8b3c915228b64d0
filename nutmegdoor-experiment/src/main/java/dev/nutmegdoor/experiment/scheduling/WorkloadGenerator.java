package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates programs with heavy-tailed numbers of turns, tool pauses and sub-agents.
 * Arrivals of a workspace depend only on the seed, the load and the workspace.
 */
final class WorkloadGenerator {

	/** Time of an engine for each prefilled token. */
	static final double PREFILL_MS = 0.03;

	/**
	 * Time of an engine for each generated token in a full batch of 32: 24 / 32 + 0.15.
	 */
	static final double DECODE_MS = 0.9;

	static final int MAX_TURNS = 55;

	static final int MAX_HISTORY_TOKENS = 110_000;

	private static final int SUB_AGENT_DEPTH = 1;

	private static final int CALIBRATION_PROGRAMS = 20_000;

	private static final double MEAN_WORK_MS = estimateMeanWorkMs();

	private final long seed;

	WorkloadGenerator(long seed) {
		this.seed = seed;
	}

	/**
	 * Generates the arrivals of one workspace.
	 * @param workspace index of the workspace
	 * @param load offered work over the capacity of all engines
	 * @param rateFactor factor on the workspace's rate
	 * @param durationMs span of the arrivals
	 * @return programs in the order of their arrival
	 */
	List<ProgramSpec> generate(int workspace, double load, int rateFactor, long durationMs) {
		List<ProgramSpec> programs = new ArrayList<>();
		for (int part = 0; part < rateFactor; part++) {
			UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP
				.create(this.seed * 1_000 + workspace * 10L + part);
			ContinuousSampler gap = ZigguratSampler.Exponential.of(random);
			double meanGapMs = MEAN_WORK_MS / (load * Deployment.ENGINES * Deployment.WORKSPACE_SHARES[workspace]);
			double atMs = gap.sample() * meanGapMs;
			while (atMs < durationMs) {
				String name = "w" + workspace + "x" + part + "n" + programs.size();
				programs.add(program(random, name, workspace, Math.round(atMs), SUB_AGENT_DEPTH));
				atMs += gap.sample() * meanGapMs;
			}
		}
		return programs;
	}

	private static double estimateMeanWorkMs() {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(42);
		double sumMs = 0;
		for (int i = 0; i < CALIBRATION_PROGRAMS; i++) {
			sumMs += program(random, "c" + i, 0, 0, SUB_AGENT_DEPTH).workMs();
		}
		return sumMs / CALIBRATION_PROGRAMS;
	}

	private static ProgramSpec program(UniformRandomProvider random, String name, int workspace, long arrivalMs,
			int depth) {
		double kindDraw = random.nextDouble();
		int kind = (kindDraw < Deployment.KIND_SHARES[0]) ? 0
				: (kindDraw < Deployment.KIND_SHARES[0] + Deployment.KIND_SHARES[1]) ? 1 : 2;
		int turns = (int) logNormal(random, 4.5, 0.9, 1, MAX_TURNS);
		double size = logNormal(random, 1, 0.6, 0.2, 5);
		List<TurnSpec> specs = new ArrayList<>(turns);
		int history = 0;
		for (int turn = 0; turn < turns; turn++) {
			int newTokens = (int) (size
					* ((turn == 0) ? logNormal(random, 900, 0.8, 100, 12_000) : logNormal(random, 450, 1, 40, 20_000)));
			int answerTokens = (int) logNormal(random, 110, 0.6, 8, 600);
			long pauseMs = (long) logNormal(random, 1_200, 1, 50, 20_000);
			if (history + newTokens + answerTokens > MAX_HISTORY_TOKENS) {
				break;
			}
			history += newTokens + answerTokens;
			List<ProgramSpec> subAgents = new ArrayList<>();
			if (depth > 0 && turns > 3 && random.nextDouble() < 0.06) {
				int count = 1 + random.nextInt(3);
				for (int i = 0; i < count; i++) {
					subAgents.add(program(random, name + "t" + turn + "s" + i, workspace, 0, depth - 1));
				}
			}
			specs.add(new TurnSpec(newTokens, answerTokens, pauseMs, subAgents));
		}
		return new ProgramSpec(name, workspace, kind, arrivalMs, specs);
	}

	private static double logNormal(UniformRandomProvider random, double median, double sigma, double min, double max) {
		double value = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random), Math.log(median), sigma)
			.sample();
		return Math.max(min, Math.min(max, value));
	}

}
