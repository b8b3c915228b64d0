package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.node.relay.PeakDayWorkload.Kind;
import dev.nutmegdoor.node.relay.PeakDayWorkload.Program;

/**
 * Workload of a deployment with uneven machines, in which the demand of each zone rises
 * and falls at another time.
 */
final class UnevenWorkload {

	private static final int ZONES = 3;

	private static final double WAVE = 0.55;

	private static final double WAVE_PERIOD_MS = 12_000;

	private static final double PROGRAMS_PER_SECOND = 52;

	private static final ModelledEngine.Times TIMES = new ModelledEngine.Times(4.63, 0.1, 41.4);

	private static final List<Kind> KINDS = List.of(new Kind(39.6, 3, 3, 1_030, 60, 0.05, 2.3, 37, 204),
			new Kind(12.4, 10, 11, 514, 150, 0.25, 2.3, 37, 204));

	private UnevenWorkload() {
	}

	static SimulatedDeployment deployment(long seed) {
		return new SimulatedDeployment(ZONES, 72, 39, 16, 20, 171_069, 0.5, 1, TIMES, new UnevenSpeeds(seed), true);
	}

	/**
	 * Generates random programs.
	 * @param seed seed of the random numbers
	 * @param durationMs time in which programs arrive in milliseconds
	 * @param loadFactor multiple of the usual arrival rate
	 * @return programs in the order of their arrival
	 */
	static List<Program> programs(long seed, long durationMs, double loadFactor) {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		double totalWeight = KINDS.stream().mapToDouble(Kind::weight).sum();
		List<Program> programs = new ArrayList<>();
		double arrivalMs = 0;
		while (true) {
			arrivalMs += -Math.log(1 - random.nextDouble()) * 1_000 / (PROGRAMS_PER_SECOND * loadFactor * (1 + WAVE));
			if (arrivalMs >= durationMs) {
				return programs;
			}
			int zone = random.nextInt(ZONES);
			double phase = 2 * Math.PI * (arrivalMs / WAVE_PERIOD_MS + (double) zone / ZONES);
			int kind = (random.nextDouble() * totalWeight < KINDS.get(0).weight()) ? 0 : 1;
			if (random.nextDouble() < (1 + WAVE * Math.sin(phase)) / (1 + WAVE)) {
				programs.add(PeakDayWorkload.program(random, programs.size(), (long) arrivalMs, kind, KINDS.get(kind),
						TIMES, () -> zone));
			}
		}
	}

}
