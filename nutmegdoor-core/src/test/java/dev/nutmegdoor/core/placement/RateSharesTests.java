package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class RateSharesTests {

	// Guards against instances that together exceed a replica's rate: each may send one
	// request at any time, so their number must be bounded as well as their rates.
	@ParameterizedTest
	@CsvSource({ "1, 5", "7, 0.5", "9, 1", "9, 4.2", "9, 60", "54, 8", "83, 3.9", "390, 0.1", "390, 25" })
	void sharesStayWithinToleranceForAnyNumberOfInstances(int instances, double requestsPerSecond) {
		List<InstanceId> ids = new ArrayList<>();
		for (int i = 0; i < instances; i++) {
			ids.add(new InstanceId("i-" + i));
		}
		for (int replica = 0; replica < 20; replica++) {
			UpstreamId id = new UpstreamId("r-" + replica);
			double sum = 0;
			int users = 0;
			for (InstanceId self : ids) {
				List<InstanceId> others = ids.stream().filter((other) -> !other.equals(self)).toList();
				double share = new RateShares(self, () -> others).shareOf(id, requestsPerSecond);
				sum += share;
				users += (share > 0) ? 1 : 0;
			}
			assertThat(sum, closeTo(requestsPerSecond, 1e-9));
			assertThat(users + 4 * sum, lessThanOrEqualTo(1.5 * 4 * requestsPerSecond + 5));
		}
	}

}
