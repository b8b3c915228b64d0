package dev.nutmegdoor.core.reachability;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class DirectReachabilityTests {

	private static final UpstreamId FIRST = new UpstreamId("r-1");

	private static final UpstreamId SECOND = new UpstreamId("r-2");

	private static final UpstreamId THIRD = new UpstreamId("r-3");

	private final DirectReachability reachability = new DirectReachability(EventLog.NONE);

	private void isolate() {
		this.reachability.recordContact(500);
		this.reachability.recordDetour(FIRST, 1_000, 1_260);
		this.reachability.recordDetour(SECOND, 1_100, 1_360);
	}

	@Nested
	class IsolatedInstance {

		// Guards against requests that each lose the time of a connection attempt while
		// the instance is partitioned from all replicas.
		@Test
		void triesNoReplicaDirectly() {
			isolate();
			assertThat(DirectReachabilityTests.this.reachability.isIsolated(), is(true));
			assertThat(DirectReachabilityTests.this.reachability.isDirect(THIRD, 9_000), is(false));
		}

		// Guards against detours that go on after the partition has healed.
		@Test
		void triesDirectConnectionOncePerPeriodAndReturnsWhenItSucceeds() {
			isolate();
			assertThat(DirectReachabilityTests.this.reachability.startRetry(1_800), is(false));
			assertThat(DirectReachabilityTests.this.reachability.startRetry(1_860), is(true));
			assertThat(DirectReachabilityTests.this.reachability.startRetry(1_870), is(false));
			assertThat(DirectReachabilityTests.this.reachability.startRetry(2_360), is(true));
			DirectReachabilityTests.this.reachability.recordConnected(THIRD, 2_365);
			assertThat(DirectReachabilityTests.this.reachability.isIsolated(), is(false));
			assertThat(DirectReachabilityTests.this.reachability.isDirect(FIRST, 2_365), is(true));
		}

		// Guards against an old connection that outlives the partition and ends the
		// detours while new connections are still refused.
		@Test
		void staysIsolatedWhenBytesArriveOnOldConnection() {
			isolate();
			DirectReachabilityTests.this.reachability.recordContact(1_500);
			assertThat(DirectReachabilityTests.this.reachability.isIsolated(), is(true));
		}

	}

	@Nested
	class ConnectedInstance {

		// Guards against all requests taking a detour because the path to one replica is
		// interrupted.
		@Test
		void takesDetourOnlyToTheReplicaThatItDoesNotReach() {
			DirectReachabilityTests.this.reachability.recordDetour(FIRST, 1_000, 1_260);
			assertThat(DirectReachabilityTests.this.reachability.isDirect(FIRST, 1_300), is(false));
			assertThat(DirectReachabilityTests.this.reachability.isDirect(SECOND, 1_300), is(true));
			assertThat(DirectReachabilityTests.this.reachability.isDirect(FIRST, 2_260), is(true));
		}

		// Guards against an instance that gives up its direct connections although other
		// replicas answer on them.
		@Test
		void isNotIsolatedWhileOtherReplicasAnswer() {
			DirectReachabilityTests.this.reachability.recordDetour(FIRST, 1_000, 1_010);
			DirectReachabilityTests.this.reachability.recordContact(1_050);
			DirectReachabilityTests.this.reachability.recordDetour(SECOND, 1_100, 1_110);
			assertThat(DirectReachabilityTests.this.reachability.isIsolated(), is(false));
		}

		// Guards against detours of different times that add up to an isolation.
		@Test
		void forgetsDetours() {
			DirectReachabilityTests.this.reachability.recordDetour(FIRST, 1_000, 1_010);
			DirectReachabilityTests.this.reachability.recordDetour(SECOND, 2_000, 2_010);
			assertThat(DirectReachabilityTests.this.reachability.isIsolated(), is(false));
		}

	}

}
