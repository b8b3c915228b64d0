package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.AvailabilityZone;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class ZoneReachabilityTests {

	private static final AvailabilityZone OWN = new AvailabilityZone("a");

	private static final AvailabilityZone OTHER = new AvailabilityZone("b");

	private final List<String> recordedEvents = new ArrayList<>();

	private final ZoneReachability zones = new ZoneReachability(OWN,
			(event, details) -> this.recordedEvents.add(event));

	@Nested
	class OtherZone {

		@BeforeEach
		void recordAnswerFromOwnZone() {
			ZoneReachabilityTests.this.zones.recordAnswer(OWN, 2_300);
		}

		// Guards against calls that each wait for a connection to a partitioned zone
		// until a timeout.
		@Test
		void isUnreachableAfterTwoUnansweredCalls() {
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 400);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 400), is(true));
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 2", 50, 450);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 450), is(false));
		}

		// Guards against a zone that is avoided because of a single slow call that is
		// recorded repeatedly.
		@Test
		void staysReachableWhenSameCallIsRecordedTwice() {
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 400);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 500);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 500), is(true));
		}

		// Guards against an overloaded zone that is considered partitioned while it
		// answers other calls.
		@Test
		void staysReachableWhileItAnswersOtherCalls() {
			ZoneReachabilityTests.this.zones.recordAnswer(OTHER, 300);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 400);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 2", 50, 450);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 450), is(true));
		}

		// Guards against many calls that wait until their deadline each time a
		// partitioned
		// zone is tried again.
		@Test
		void isTestedByOneCallAtATimeWhileItIsLost() {
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 400);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 2", 0, 400);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 1_900), is(true));
			ZoneReachabilityTests.this.zones.recordCall(OTHER, 1_900);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 1_901), is(false));
			ZoneReachabilityTests.this.zones.recordAnswer(OTHER, 1_950);
			ZoneReachabilityTests.this.zones.recordCall(OTHER, 1_960);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 1_961), is(true));
		}

		// Guards against a zone that receives no calls after the partition has healed.
		@Test
		void isRetriedAfterAvoidancePeriodAndRegainedWithAnswer() {
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 0, 400);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 2", 0, 400);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 1_900), is(true));
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 3", 1_900, 2_150);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 2_150), is(false));
			ZoneReachabilityTests.this.zones.recordAnswer(OTHER, 2_200);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 2_200), is(true));
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 4", 2_300, 2_700);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 2_700), is(true));
			assertThat(ZoneReachabilityTests.this.recordedEvents, contains("zone.lost", "zone.regained"));
		}

	}

	@Nested
	class SlowInstance {

		// Guards against a process that avoids all zones after its start, because it is
		// too slow to read the responses.
		@Test
		void keepsZoneReachableWhileNoZoneAnswers() {
			ZoneReachabilityTests.this.zones.recordAnswer(OWN, 100);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 1", 200, 600);
			ZoneReachabilityTests.this.zones.recordNoResponse(OTHER, "call 2", 200, 600);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OTHER, 600), is(true));
		}

	}

	@Nested
	class OwnZone {

		// Guards against an instance that avoids the replicas of its own zone, which may
		// be the only ones.
		@Test
		void isAlwaysReachable() {
			ZoneReachabilityTests.this.zones.recordNoResponse(OWN, "call 1", 0, 400);
			ZoneReachabilityTests.this.zones.recordNoResponse(OWN, "call 2", 0, 400);
			assertThat(ZoneReachabilityTests.this.zones.isReachable(OWN, 400), is(true));
		}

	}

}
