package dev.nutmegdoor.node.relay;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Simulates the peak days of the users' deployments and checks the credit that programs
 * earn.
 */
class SchedulingUnderLoadTests {

	private static final long DURATION_MS = 20_000;

	private static final int SEEDS = 2;

	/** Load factor that slightly exceeds the capacity of the engines. */
	private static final double BURST_LOAD_FACTOR = 2;

	private static double earnedShare(PeakDayWorkload workload, LoadPolicy policy, double loadFactor) {
		double meanShare = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			meanShare += simulate(workload, policy, loadFactor, seed).earnedShare() / SEEDS;
		}
		return meanShare;
	}

	private static LoadSimulation.LoadResult simulate(PeakDayWorkload workload, LoadPolicy policy, double loadFactor,
			long seed) {
		List<PeakDayWorkload.Program> programs = workload.programs(seed, DURATION_MS, loadFactor);
		return new LoadSimulation(workload, policy, seed).run(programs);
	}

	// Guards against programs that are late or fail although the engines have sufficient
	// capacity.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void completesProgramsInTimeAtUsualLoad(PeakDayWorkload workload) {
		assertThat(earnedShare(workload, LoadPolicy.SHIPPED, 1), greaterThan(0.98));
	}

	// Guards against a scheduler that earns less than a simple policy while the engines
	// are overloaded.
	@ParameterizedTest
	@EnumSource(value = PeakDayWorkload.class, names = "RTI_LAGGING_LARGE", mode = EnumSource.Mode.EXCLUDE)
	void earnsMoreThanSimplePoliciesDuringBurst(PeakDayWorkload workload) {
		assertEarnsMoreThanSimplePolicies(workload);
	}

	// The same with 80 instances, where sticky assignment is the strongest simple policy.
	@Test
	void earnsMoreThanSimplePoliciesInLargeDeployment() {
		assertEarnsMoreThanSimplePolicies(PeakDayWorkload.RTI_LAGGING_LARGE);
	}

	private static void assertEarnsMoreThanSimplePolicies(PeakDayWorkload workload) {
		double shipped = earnedShare(workload, LoadPolicy.SHIPPED, BURST_LOAD_FACTOR);
		for (LoadPolicy simplePolicy : List.of(LoadPolicy.ROUND_ROBIN, LoadPolicy.LEAST_LOADED, LoadPolicy.STICKY)) {
			assertThat(simplePolicy.name(), shipped,
					greaterThan(earnedShare(workload, simplePolicy, BURST_LOAD_FACTOR)));
		}
	}

	// Guards against credit that is lost because instances schedule with partial and
	// outdated load information. The target for latency is 1.25 times that of the ideal
	// scheduler.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void staysWithinTargetOfIdealSchedulerDuringBurst(PeakDayWorkload workload) {
		assertThat(earnedShare(workload, LoadPolicy.SHIPPED, BURST_LOAD_FACTOR),
				greaterThanOrEqualTo(earnedShare(workload, LoadPolicy.IDEAL, BURST_LOAD_FACTOR) / 1.25));
	}

	// Guards against 80 instances that each see only their own requests: without the
	// loads
	// that others observe, programs lose the engines that hold their histories.
	@Test
	void sharedLoadsKeepProgramsInTimeInLargeDeployment() {
		double withoutSharing = earnedShare(PeakDayWorkload.RTI_LAGGING_LARGE, LoadPolicy.WITHOUT_SHARED_LOADS,
				BURST_LOAD_FACTOR);
		double shared = earnedShare(PeakDayWorkload.RTI_LAGGING_LARGE, LoadPolicy.SHIPPED, BURST_LOAD_FACTOR);
		assertThat(shared, greaterThan(withoutSharing));
	}

	// Guards against prompts that an engine reads although another replica has them
	// cached. The target is 0.3 times the excess of the least-loaded policy over the
	// sticky one.
	@ParameterizedTest
	@EnumSource(PeakDayWorkload.class)
	void limitsRepeatedPromptReading(PeakDayWorkload workload) {
		double leastLoaded = simulate(workload, LoadPolicy.LEAST_LOADED, 1, 1).readTokensPerTurn();
		double sticky = simulate(workload, LoadPolicy.STICKY, 1, 1).readTokensPerTurn();
		double shipped = simulate(workload, LoadPolicy.SHIPPED, 1, 1).readTokensPerTurn();
		assertThat(shipped - sticky, lessThan((leastLoaded - sticky) * 0.3));
	}

}
