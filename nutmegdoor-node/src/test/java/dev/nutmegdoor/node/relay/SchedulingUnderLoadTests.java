package dev.nutmegdoor.node.relay;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Plays the load of the deployments' heaviest days and checks what callers get.
 */
class SchedulingUnderLoadTests {

	private static final long DURATION_MS = 20_000;

	private static final int SEEDS = 2;

	/** A burst at which the engines are just not enough. */
	private static final double BURST = 2;

	private static double earned(PeakDayWorkload day, LoadPolicy policy, double factor) {
		double earned = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			earned += play(day, policy, factor, seed).earnedShare() / SEEDS;
		}
		return earned;
	}

	private static LoadSimulation.LoadResult play(PeakDayWorkload day, LoadPolicy policy, double factor, long seed) {
		List<PeakDayWorkload.Program> programs = day.programs(seed, DURATION_MS, factor);
		return new LoadSimulation(day, policy, seed).play(programs);
	}

	// Guards against programs that are late or lost although the engines could serve all.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void programsAreFinishedInTimeAtTheUsualLoad(PeakDayWorkload day) {
		assertThat(earned(day, LoadPolicy.SHIPPED, 1), greaterThan(0.98));
	}

	// Guards against queueing and placement that serve callers worse than a simple rule
	// while the engines can't serve all.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void moreIsEarnedInABurstThanWithSimpleRules(PeakDayWorkload day) {
		double shipped = earned(day, LoadPolicy.SHIPPED, BURST);
		for (LoadPolicy simple : List.of(LoadPolicy.ROUND_ROBIN, LoadPolicy.LEAST_LOADED, LoadPolicy.STICKY)) {
			assertThat(simple.name(), shipped, greaterThan(earned(day, simple, BURST)));
		}
	}

	// Guards against instances that lose what one that knows everything would keep: the
	// target for latency is 1.25 times the ideal.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void nearlyAsMuchIsEarnedInABurstAsWithPerfectInformation(PeakDayWorkload day) {
		assertThat(earned(day, LoadPolicy.SHIPPED, BURST),
				greaterThanOrEqualTo(earned(day, LoadPolicy.IDEAL, BURST) / 1.25));
	}

	// Guards against prompts that are read again although a replica has them; the target
	// is 0.3 times what the least loaded replica wastes.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void promptsAreSeldomReadAgain(PeakDayWorkload day) {
		double least = play(day, LoadPolicy.LEAST_LOADED, 1, 1).readTokensPerTurn();
		double sticky = play(day, LoadPolicy.STICKY, 1, 1).readTokensPerTurn();
		double shipped = play(day, LoadPolicy.SHIPPED, 1, 1).readTokensPerTurn();
		assertThat(shipped - sticky, lessThan((least - sticky) * 0.3));
	}

}
