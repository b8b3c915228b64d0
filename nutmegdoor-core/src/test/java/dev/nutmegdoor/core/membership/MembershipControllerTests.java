package dev.nutmegdoor.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.fake.FakeFleet;
import dev.nutmegdoor.core.fake.FakeInstance;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class MembershipControllerTests {

	private static FakeFleet fleet(long seed, int instances, int zones) {
		FakeFleet fleet = new FakeFleet(seed, zones);
		fleet.start(instances);
		fleet.advance(10_000);
		return fleet;
	}

	private static List<MemberState> statesOf(FakeFleet fleet, FakeInstance subject) {
		List<MemberState> states = new ArrayList<>();
		for (FakeInstance instance : fleet.running()) {
			if (instance != subject) {
				Member member = instance.membership().member(subject.id());
				states.add((member != null) ? member.state() : MemberState.GONE);
			}
		}
		return states;
	}

	@Nested
	class Leaving {

		// Guards against a drain that some instances learn of late and route to.
		@ParameterizedTest(name = "{0} instances")
		@ValueSource(ints = { 9, 90, 390 })
		void isKnownEverywhereWithinThreeSeconds(int instances) {
			FakeFleet fleet = fleet(instances, instances, (instances > 90) ? 6 : 3);
			FakeInstance leaving = fleet.instances().get(4);
			leaving.membership().leave();
			fleet.advance(3000);
			assertThat(statesOf(fleet, leaving), everyItem(is(MemberState.LEAVING)));
		}

		// Guards against reliance on every message of the first round arriving.
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 1, 2, 3, 4, 5 })
		void isKnownDespiteLostMessages(long seed) {
			FakeFleet fleet = fleet(seed, 30, 3);
			fleet.network().setSettings(new LinkSettings(1, 2, 3, 0.1, 0.05));
			FakeInstance leaving = fleet.instances().get(7);
			leaving.membership().leave();
			fleet.advance(3000);
			assertThat(statesOf(fleet, leaving), everyItem(is(MemberState.LEAVING)));
		}

	}

	@Nested
	class Silence {

		// Guards against a crash that stays unnoticed, or an entry that never ends.
		@Test
		void makesACrashedInstanceSuspectAndThenGone() {
			FakeFleet fleet = fleet(1, 30, 3);
			FakeInstance crashed = fleet.instances().get(3);
			// The platform's list still shows the instance.
			crashed.host().crash();
			fleet.advance(6000);
			assertThat(statesOf(fleet, crashed), everyItem(is(MemberState.SUSPECT)));
			fleet.advance(60_000);
			assertThat(statesOf(fleet, crashed), everyItem(is(MemberState.GONE)));
		}

		// Guards against an instance that counts its own pause as silence of the others.
		@Test
		void ofThePausedInstanceItselfIsNotCountedAgainstOthers() {
			FakeFleet fleet = fleet(2, 9, 3);
			FakeInstance paused = fleet.instances().get(0);
			List<Member> changes = new ArrayList<>();
			paused.host().pause();
			paused.membership().subscribe(changes::add);
			fleet.advance(20_000);
			paused.host().resume();
			fleet.advance(10_000);
			assertThat(changes, hasSize(0));
			assertThat(statesOf(fleet, paused), everyItem(is(MemberState.LIVE)));
		}

		// Guards against a cut-off zone whose instances get work or never come back.
		@Test
		void ofACutOffZoneMakesItsInstancesSuspectUntilItReturns() {
			FakeFleet fleet = fleet(3, 9, 3);
			AvailabilityZone zone = fleet.zones().get(0);
			fleet.setCut(zone, true);
			fleet.advance(60_000);
			FakeInstance cutOff = fleet.instances().get(0);
			assertThat(statesOf(fleet, cutOff).stream().filter(MemberState.SUSPECT::equals).count(), is(6L));
			fleet.setCut(zone, false);
			fleet.advance(5000);
			assertThat(statesOf(fleet, cutOff), everyItem(is(MemberState.LIVE)));
		}

	}

	@Nested
	class Joining {

		// Guards against a new instance that stays unknown until the list shows it.
		@Test
		void isKnownBeforeTheListShowsIt() {
			FakeFleet fleet = fleet(4, 30, 3);
			FakeInstance joined = fleet.start(fleet.zones().get(1), false);
			fleet.advance(3000);
			assertThat(statesOf(fleet, joined), everyItem(is(MemberState.LIVE)));
			assertThat(joined.membership().members(), hasSize(31));
		}

	}

	@Nested
	class Cost {

		// Guards against work per instance that rises with the size of the fleet.
		@Test
		void isBoundedByTheNumberOfZonesPerInstance() {
			FakeFleet fleet = fleet(5, 90, 3);
			long sentBefore = fleet.instances().get(0).membership().dump().sentMessages();
			fleet.advance(60_000);
			long sentMessages = fleet.instances().get(0).membership().dump().sentMessages() - sentBefore;
			// Two ring neighbours, one random instance of the own and of each other zone.
			assertThat(sentMessages, lessThanOrEqualTo(60L * 5));
		}

	}

}
