package dev.nutmegdoor.core.route;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class RouteTableTests {

	private static ServiceRoute route(String name, String prefix, ServiceShare... shares) {
		return new ServiceRoute(name, "h.example", prefix, RouteKind.SAFE, List.of(shares), 1, 1_000, 0, false, 0,
				false);
	}

	private static RouteTable table(long version, ServiceRoute... routes) {
		return new RouteTable(version, List.of(routes), List.of(), List.of(), Map.of(),
				new RequestLimits(1_000, 1_000, 1_000, 1_000));
	}

	@Nested
	class RouteSelection {

		private final ServiceRoute general = route("general", "/a/", new ServiceShare("s", 1));

		private final ServiceRoute specific = route("special", "/a/b/", new ServiceShare("t", 1));

		private final RouteTable table = table(1, this.general, this.specific);

		// Guards against a request that is routed by a less specific prefix.
		@Test
		void selectsRouteWithLongestPrefix() {
			assertThat(this.table.routeOf("h.example", "/a/b/c"), is(this.specific));
			assertThat(this.table.routeOf("H.example:80", "/a/c"), is(this.general));
		}

		// Guards against a prefix that matches part of a path segment, and against a
		// route that matches requests to another host.
		@Test
		void matchesWholePathSegmentsOnSameHostOnly() {
			assertThat(this.table.routeOf("h.example", "/ab/"), is(nullValue()));
			assertThat(this.table.routeOf("other.example", "/a/"), is(nullValue()));
		}

		// Guards against a service that receives none or all of the requests of a divided
		// route.
		@Test
		void distributesRequestsByWeight() {
			ServiceRoute divided = route("divided", "/d/", new ServiceShare("s", 90), new ServiceShare("t", 10));
			int firstServiceCount = 0;
			for (int i = 0; i < 1_000; i++) {
				firstServiceCount += divided.selectService(i / 1_000.0).equals("s") ? 1 : 0;
			}
			assertThat(firstServiceCount, is(900));
		}

	}

	@Nested
	class ConfigurationUpdates {

		// Guards against a rollback of the configuration by a delayed response that
		// contains an older version.
		@Test
		void ignoresOlderConfigurationVersion() {
			InvariantRegistry invariants = new InvariantRegistry();
			Deployment deployment = new Deployment(invariants, EventLog.NONE);
			deployment.accept(table(5), "watch");
			deployment.accept(table(4), "list");
			assertThat(deployment.routes().version(), is(5L));
			assertThat(invariants.violated(Invariant.CONFIGURATION_MONOTONIC), is(0L));
		}

	}

}
