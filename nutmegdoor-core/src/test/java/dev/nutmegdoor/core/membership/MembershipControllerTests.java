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
	class LeavingInstance {

		// Guards against requests routed to a draining instance, when the announcement of
		// the drain reaches some instances late.
		@ParameterizedTest(name = "{0} instances")
		@ValueSource(ints = { 9, 90, 390 })
		void isReportedByAllInstancesWithinThreeSeconds(int instances) {
			FakeFleet fleet = fleet(instances, instances, (instances > 90) ? 6 : 3);
			FakeInstance leaving = fleet.instances().get(4);
			leaving.membership().leave();
			fleet.advance(3000);
			assertThat(statesOf(fleet, leaving), everyItem(is(MemberState.LEAVING)));
		}

		// Guards against requests routed to a draining instance, when messages that
		// announce the drain are lost.
		@ParameterizedTest(name = "seed {0}")
		@ValueSource(longs = { 1, 2, 3, 4, 5 })
		void isReportedByAllInstancesDespiteLostMessages(long seed) {
			FakeFleet fleet = fleet(seed, 30, 3);
			fleet.network().setSettings(new LinkSettings(1, 2, 3, 0.1, 0.05));
			FakeInstance leaving = fleet.instances().get(7);
			leaving.membership().leave();
			fleet.advance(3000);
			assertThat(statesOf(fleet, leaving), everyItem(is(MemberState.LEAVING)));
		}

	}

	@Nested
	class UnresponsiveInstance {

		// Guards against requests routed to a crashed instance, when its missing
		// heartbeats are not detected, and against entries of crashed instances that
		// never expire.
		@Test
		void becomesSuspectAndThenGoneAfterCrash() {
			FakeFleet fleet = fleet(1, 30, 3);
			FakeInstance crashed = fleet.instances().get(3);
			// The platform's list still contains the instance.
			crashed.host().crash();
			fleet.advance(6000);
			assertThat(statesOf(fleet, crashed), everyItem(is(MemberState.SUSPECT)));
			fleet.advance(60_000);
			assertThat(statesOf(fleet, crashed), everyItem(is(MemberState.GONE)));
		}

		// Guards against a running fleet reported as suspect, when an instance resumes
		// after a pause of its process and has received no heartbeats in the meantime.
		@Test
		void doesNotReportOthersAsSuspectAfterPause() {
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

		// Guards against requests routed to a zone that is unreachable, and against a
		// zone that stays suspect after the network partition has healed.
		@Test
		void isSuspectUntilPartitionOfItsZoneHeals() {
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
	class JoiningInstance {

		// Guards against a new instance that receives no work until the platform's list
		// contains it.
		@Test
		void isLiveOnAllInstancesBeforePlatformListsIt() {
			FakeFleet fleet = fleet(4, 30, 3);
			FakeInstance joined = fleet.start(fleet.zones().get(1), false);
			fleet.advance(3000);
			assertThat(statesOf(fleet, joined), everyItem(is(MemberState.LIVE)));
			assertThat(joined.membership().members(), hasSize(31));
		}

	}

	@Nested
	class MessageRate {

		// Guards against instances of a large fleet that are overloaded by heartbeats,
		// when their number per instance grows with the size of the fleet.
		@Test
		void isBoundedByNumberOfZones() {
			FakeFleet fleet = fleet(5, 90, 3);
			long sentBefore = fleet.instances().get(0).membership().dump().sentMessages();
			fleet.advance(60_000);
			long sentMessages = fleet.instances().get(0).membership().dump().sentMessages() - sentBefore;
			// Two ring neighbours and one random instance of each of the three zones.
			assertThat(sentMessages, lessThanOrEqualTo(60L * 5));
		}

	}

}
