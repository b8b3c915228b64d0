package dev.nutmegdoor.node.relay;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RequestLimits;
import dev.nutmegdoor.core.route.RouteTable;
import dev.nutmegdoor.core.route.RoutedService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IdleConnectionLimitTests {

	private final Deployment deployment = new Deployment(new InvariantRegistry(), EventLog.NONE);

	private int limitFor(String service, int instances) {
		this.deployment.accept(new RouteTable(1, List.of(), List.of(new RoutedService("s", 170, 0)), List.of(),
				Map.of(), RequestLimits.DEFAULT), "test");
		Upstream replica = new Upstream(new UpstreamId("r"), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"10.0.0.1", 80, List.of(service), 16, false, false);
		return new IdleConnectionLimit(this.deployment, () -> instances).limitFor(replica);
	}

	// Guards against a new connection for each request of a burst, because too few idle
	// connections are kept.
	@Test
	void returnsMaximumPerReplicaInSmallDeployment() {
		assertThat(limitFor("s", 9), is(8));
	}

	// Guards against requests whose connections a replica resets, because the idle
	// connections of many instances exhaust its connection limit.
	@Test
	void sharesHalfOfReplicaConnectionsAmongInstancesInLargeDeployment() {
		assertThat(limitFor("s", 54) * 54 <= 170 / 2, is(true));
		assertThat(limitFor("s", 390), is(1));
	}

	// Guards against a failed request to a service that the configuration does not
	// contain yet.
	@Test
	void returnsMaximumPerReplicaForUnknownService() {
		assertThat(limitFor("other", 54), is(IdleConnectionLimit.MAX_PER_REPLICA));
	}

}
