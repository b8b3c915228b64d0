package dev.nutmegdoor.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.UpstreamId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class OutlierDetectorTests {

	private static final String POOL = "engines";

	private static final List<UpstreamId> REPLICAS = List.of(new UpstreamId("r-1"), new UpstreamId("r-2"),
			new UpstreamId("r-3"), new UpstreamId("r-4"));

	private final OutlierDetector outliers = new OutlierDetector();

	private void answer(UpstreamId replica, double ratio) {
		this.outliers.recordAnswer(replica, POOL, ratio * 100, 100, REPLICAS.size(), 0);
	}

	// Guards against healthy engines that are passed over because a burst of prompts
	// slows all of them down; programs then lose their cached histories.
	@Test
	void ejectsNoneWhileAllAreSlow() {
		for (int i = 0; i < 20; i++) {
			REPLICAS.forEach((replica) -> answer(replica, 6));
		}
		assertThat(this.outliers.ejectedReplicaCount(1), is(0L));
		assertThat(this.outliers.slowFactor(REPLICAS.get(0)), lessThan(1.5));
	}

	// Guards against an engine that is passed over because of one short answer beside a
	// long prompt.
	@Test
	void ejectsNoneForOneSlowAnswer() {
		answer(REPLICAS.get(0), 20);
		assertThat(this.outliers.ejectedReplicaCount(1), is(0L));
		assertThat(this.outliers.slowFactor(REPLICAS.get(0)), is(1.0));
	}

	// Guards against an engine that has turned slow and still gets calls.
	@Test
	void ejectsReplicaThatIsSlowerThanTheOthers() {
		for (int i = 0; i < 10; i++) {
			REPLICAS.subList(1, 4).forEach((replica) -> answer(replica, 1.5));
			answer(REPLICAS.get(0), 10);
		}
		assertThat(this.outliers.isEjected(REPLICAS.get(0), 1), is(true));
		assertThat(this.outliers.ejectedReplicaCount(1), is(1L));
	}

	// Guards against a moderately slow engine that gets as many calls as the others.
	@Test
	void reportsFactorAgainstTheOthers() {
		for (int i = 0; i < 30; i++) {
			REPLICAS.subList(1, 4).forEach((replica) -> answer(replica, 2));
			answer(REPLICAS.get(0), 4);
		}
		assertThat(this.outliers.slowFactor(REPLICAS.get(0)), greaterThan(1.8));
		assertThat(this.outliers.slowFactor(REPLICAS.get(0)), lessThan(2.2));
	}

}
