package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Simulates a deployment of 72 gateways whose machines have uneven speeds and slow
 * periods, with waves of demand that differ by zone.
 */
class UnevenServersUnderLoadTests {

	private static final long DURATION_MS = 15_000;

	private static final int SEEDS = 2;

	private static final List<LoadPolicy> SIMPLE_POLICIES = List.of(LoadPolicy.RANDOM, LoadPolicy.ROUND_ROBIN,
			LoadPolicy.LEAST_LOADED, LoadPolicy.STICKY);

	private static LoadSimulation.LoadResult simulate(LoadPolicy policy, boolean statesWorkTime) {
		List<LoadSimulation.LoadResult> results = new ArrayList<>();
		for (long seed = 1; seed <= SEEDS; seed++) {
			SimulatedDeployment deployment = UnevenWorkload.deployment(seed);
			results
				.add(new LoadSimulation(statesWorkTime ? deployment : deployment.withoutStatedWorkTime(), policy, seed)
					.run(UnevenWorkload.programs(seed, DURATION_MS, 1)));
		}
		return new LoadSimulation.LoadResult(
				results.stream().mapToDouble(LoadSimulation.LoadResult::earnedShare).average().orElseThrow(),
				results.stream().mapToDouble(LoadSimulation.LoadResult::readTokensPerTurn).average().orElseThrow(),
				results.stream().mapToDouble(LoadSimulation.LoadResult::worstZoneShare).average().orElseThrow());
	}

	// Guards against a placement that earns less, in all or in the worst zone, than a
	// simple policy or than a placement that ignores what replicas state about the time
	// of work.
	@Test
	void earnMoreThanSimplePoliciesInAllAndInWorstZone() {
		LoadSimulation.LoadResult shipped = simulate(LoadPolicy.SHIPPED, true);
		for (LoadPolicy simplePolicy : SIMPLE_POLICIES) {
			assertBetter(simplePolicy.name(), shipped, simulate(simplePolicy, true));
		}
		assertBetter("without stated times", shipped, simulate(LoadPolicy.SHIPPED, false));
	}

	private static void assertBetter(String name, LoadSimulation.LoadResult shipped, LoadSimulation.LoadResult other) {
		assertThat(name, shipped.earnedShare(), greaterThan(other.earnedShare()));
		assertThat(name + ", worst zone", shipped.worstZoneShare(), greaterThan(other.worstZoneShare()));
	}

}
