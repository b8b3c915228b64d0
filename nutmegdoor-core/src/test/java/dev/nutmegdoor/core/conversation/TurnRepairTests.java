package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.ledger.LedgerSettings;

import static dev.nutmegdoor.core.conversation.TurnReplicaFleet.turn;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class TurnRepairTests {

	private static final int CHAINS = 20;

	private final TurnReplicaFleet fleet = new TurnReplicaFleet(2);

	private void storeChains() {
		for (int i = 0; i < CHAINS; i++) {
			String group = "g" + i;
			this.fleet.store(turn(group + "-1", null, group), TurnReplicaFleet.chosen(group));
			this.fleet.store(turn(group + "-2", group + "-1", group), TurnReplicaFleet.chosen(group));
		}
	}

	private void assertThatAllAreStoredByChosen(String... names) {
		for (int i = 0; i < CHAINS; i++) {
			String group = "g" + i;
			String[] chosen = TurnReplicaFleet.chosen(group, names).toArray(String[]::new);
			assertThat(this.fleet.holders(group + "-1"), hasItems(chosen));
			assertThat(this.fleet.holders(group + "-2"), hasItems(chosen));
		}
	}

	private static String[] allNames() {
		return TurnReplicaFleet.NAMES.toArray(String[]::new);
	}

	@Nested
	class LostDisks {

		// Guards against a member that denies turns because it has lost them.
		@Test
		void copiesTurnsBeforeItIsComplete() {
			storeChains();
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(false));
			long deadlineMs = TurnRepairTests.this.fleet.timer.nowMs() + 5_000;
			while (!TurnRepairTests.this.fleet.replicas.get("a1").isComplete()
					&& TurnRepairTests.this.fleet.timer.nowMs() < deadlineMs) {
				TurnRepairTests.this.fleet.timer.runNext();
			}
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			assertThatAllAreStoredByChosen(allNames());
		}

		// Guards against turns that are gone after two machines lost their disks at once.
		@Test
		void copiesTurnsAfterTwoDisksWereLostAtOnce() {
			storeChains();
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.restartWithEmptyDisk("b1");
			TurnRepairTests.this.fleet.timer.advance(5_000);
			assertThatAllAreStoredByChosen(allNames());
		}

		// Guards against a member that counts as complete because its second loss came
		// while it was copying after the first one.
		@Test
		void copiesTurnsAfterDiskWasLostTwiceInARow() {
			storeChains();
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(60);
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(5_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			assertThatAllAreStoredByChosen(allNames());
		}

		// Guards against a member that is killed while it copies, and takes the part that
		// it has for everything.
		@Test
		void staysIncompleteWhenItIsKilledWhileCopying() {
			storeChains();
			TurnRepairTests.this.fleet.setCutOff("a", true);
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(1_500);
			TurnRepairTests.this.fleet.restart("a1");
			TurnRepairTests.this.fleet.timer.advance(1_500);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(false));
			TurnRepairTests.this.fleet.setCutOff("a", false);
			TurnRepairTests.this.fleet.timer.advance(5_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			assertThatAllAreStoredByChosen(allNames());
		}

		// Guards against a member that waits for a lost one for ever, and against one
		// that does not wait for it at all.
		@Test
		void waitsForUnreachableMemberUntilItIsRemoved() {
			storeChains();
			TurnRepairTests.this.fleet.hosts.get("b1").pause();
			TurnRepairTests.this.fleet.timer.advance(1_000);
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(1_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(false));
			TurnRepairTests.this.fleet.timer.advance(LedgerSettings.DEFAULT.evictMs() + 5_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(false));
			TurnRepairTests.this.fleet.timer
				.advance(TurnCopier.UNCOPIED_MEMBER_HOLD_MS + LedgerSettings.DEFAULT.evictMs());
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
		}

		// Guards against the denial of a turn whose last copy is on a machine that starts
		// later than those that have lost their disks, which remove it meanwhile.
		@Test
		void staysIncompleteWhileRemovedMemberMayReturn() {
			storeChains();
			TurnReplicaFleet.NAMES.forEach(TurnRepairTests.this.fleet::crash);
			TurnRepairTests.this.fleet.timer.advance(500);
			TurnReplicaFleet.NAMES.stream()
				.filter((name) -> !name.equals("c1") && !name.equals("a1"))
				.forEach((name) -> TurnRepairTests.this.fleet.start(name, false));
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(8_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(false));
			TurnRepairTests.this.fleet.start("c1", false);
			TurnRepairTests.this.fleet.timer.advance(5_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			assertThatAllAreStoredByChosen(allNames());
		}

		// Guards against a new system that denies nothing because no member is complete.
		@Test
		void isCompleteWhenTheWholeSystemStartsForTheFirstTime() {
			TurnRepairTests.this.fleet.replicas.values()
				.forEach((replica) -> assertThat(replica.isComplete(), is(true)));
		}

		// Guards against members that deny all turns after a power loss of all zones.
		@Test
		void isCompleteAfterRestartOfAllMembersWithTheirDisks() {
			storeChains();
			TurnReplicaFleet.NAMES.forEach(TurnRepairTests.this.fleet::crash);
			TurnReplicaFleet.NAMES.forEach((name) -> TurnRepairTests.this.fleet.start(name, false));
			TurnReplicaFleet.NAMES
				.forEach((name) -> assertThat(TurnRepairTests.this.fleet.replicas.get(name).isComplete(), is(true)));
			assertThatAllAreStoredByChosen(allNames());
		}

	}

	@Nested
	class ChangedMembers {

		// Guards against turns that stay on two machines after a machine was replaced by
		// an empty one at another address.
		@Test
		void copiesTurnsToReplacementOfLostMember() {
			storeChains();
			TurnRepairTests.this.fleet.crash("b1");
			TurnRepairTests.this.fleet.timer.advance(1_500);
			TurnRepairTests.this.fleet.start("b3", false);
			TurnRepairTests.this.fleet.timer.advance(10_000);
			assertThatAllAreStoredByChosen("a1", "a2", "b2", "b3", "c1", "c2");
			assertThat(TurnRepairTests.this.fleet.replicas.get("b3").isComplete(), is(false));
			TurnRepairTests.this.fleet.timer
				.advance(TurnCopier.UNCOPIED_MEMBER_HOLD_MS + LedgerSettings.DEFAULT.evictMs());
			assertThat(TurnRepairTests.this.fleet.replicas.get("b3").isComplete(), is(true));
		}

		// Guards against turns that stay on two machines after a member was removed.
		@Test
		void copiesTurnsOfRemovedMemberToTheOnesThatFollow() {
			storeChains();
			TurnRepairTests.this.fleet.crash("c1");
			TurnRepairTests.this.fleet.timer.advance(LedgerSettings.DEFAULT.evictMs() + 5_000);
			assertThatAllAreStoredByChosen("a1", "a2", "b1", "b2", "c2");
		}

		// Guards against the turns of a cut-off zone that stay in that zone.
		@Test
		void copiesTurnsOfCutOffZoneWhenItIsReachableAgain() {
			TurnRepairTests.this.fleet.setCutOff("a", true);
			TurnRepairTests.this.fleet.timer.advance(1_000);
			List<String> stored = TurnRepairTests.this.fleet.store(turn("t1", null, "g"), List.of("a1", "a2"));
			assertThat(stored, containsInAnyOrder("a1", "a2"));
			TurnRepairTests.this.fleet.timer.advance(5_000);
			TurnRepairTests.this.fleet.setCutOff("a", false);
			TurnRepairTests.this.fleet.timer.advance(3_000);
			assertThat(TurnRepairTests.this.fleet.holders("t1"),
					hasItems(TurnReplicaFleet.chosen("g").toArray(String[]::new)));
		}

		// Guards against a chosen member that never gets what was stored while it was
		// down.
		@Test
		void copiesTurnsThatWereStoredWhileItWasDown() {
			String chosen = TurnReplicaFleet.chosen("g").get(1);
			List<String> others = TurnReplicaFleet.NAMES.stream().filter((name) -> !name.equals(chosen)).toList();
			TurnRepairTests.this.fleet.crash(chosen);
			TurnRepairTests.this.fleet.store(turn("t1", null, "g"), others);
			TurnRepairTests.this.fleet.start(chosen, false);
			assertThat(TurnRepairTests.this.fleet.replicas.get(chosen).isComplete(), is(true));
			TurnRepairTests.this.fleet.timer.advance(3_000);
			assertThat(TurnRepairTests.this.fleet.holders("t1"), hasItem(chosen));
		}

		// Guards against the first turns of a chain that expire on a member which missed
		// one turn in the middle.
		@Test
		void copiesTurnThatIsMissingInTheMiddle() {
			List<String> chosen = TurnReplicaFleet.chosen("g");
			TurnRepairTests.this.fleet.store(turn("t1", null, "g"), chosen);
			TurnRepairTests.this.fleet.store(turn("t2", "t1", "g"), chosen.subList(1, 3));
			TurnRepairTests.this.fleet.store(turn("t3", "t2", "g"), chosen);
			TurnRepairTests.this.fleet.timer.advance(1_000);
			assertThat(TurnRepairTests.this.fleet.ids(chosen.get(0), "t3"), hasSize(3));
		}

		// Guards against a member that never becomes complete, or is never emptied,
		// because another one runs an older version.
		@Test
		void countsMemberOfOlderVersionAsKeepingNoTurns() {
			storeChains();
			TurnRepairTests.this.fleet.crash("c1");
			TurnRepairTests.this.fleet.startOldVersion("c1");
			TurnRepairTests.this.fleet.timer.advance(1_000);
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.timer.advance(5_000);
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			var departure = TurnRepairTests.this.fleet.ledgers.get("b1").leave();
			TurnRepairTests.this.fleet.timer.advance(10_000);
			departure.join();
			TurnRepairTests.this.fleet.crash("b1");
			for (int i = 0; i < CHAINS; i++) {
				String group = "g" + i;
				if (TurnReplicaFleet.chosen(group).contains("b1")) {
					assertThat(TurnRepairTests.this.fleet.holders(group + "-2"),
							hasItems(TurnReplicaFleet.chosen(group, "a1", "a2", "b2", "c2").toArray(String[]::new)));
				}
			}
		}

		// Guards against messages and timers in deployments that keep no turns.
		@Test
		void sendsNothingWithoutTurns() {
			List<String> sent = new ArrayList<>();
			TurnRepairTests.this.fleet.network.setObserver((message) -> {
				if (TurnMessages.types().contains(message.getClass())) {
					sent.add(message.getClass().getSimpleName());
				}
			});
			TurnRepairTests.this.fleet.restartWithEmptyDisk("a1");
			TurnRepairTests.this.fleet.start("b3", false);
			TurnRepairTests.this.fleet.timer.advance(10_000);
			var departure = TurnRepairTests.this.fleet.ledgers.get("c1").leave();
			TurnRepairTests.this.fleet.timer.advance(5_000);
			departure.join();
			assertThat(TurnRepairTests.this.fleet.replicas.get("a1").isComplete(), is(true));
			assertThat(sent, is(empty()));
		}

	}

	@Nested
	class Departure {

		// Guards against a machine that reports that it is empty while turns are on too
		// few other machines.
		@Test
		void completesOnlyWhenChosenMembersHaveTheTurns() {
			storeChains();
			var departure = TurnRepairTests.this.fleet.ledgers.get("a1").leave();
			while (!departure.isDone() && TurnRepairTests.this.fleet.timer.runNext()) {
				assertThat(departure.isCompletedExceptionally(), is(false));
			}
			TurnRepairTests.this.fleet.crash("a1");
			assertThatAllAreStoredByChosen("a2", "b1", "b2", "c1", "c2");
		}

		// Guards against a turn that is confirmed by a member after its turns were handed
		// over.
		@Test
		void refusesNewTurns() {
			TurnRepairTests.this.fleet.ledgers.get("a1").leave();
			TurnRepairTests.this.fleet.timer.advance(100);
			assertThat(TurnRepairTests.this.fleet.store(turn("t1", null, "g"), List.of("a1")), is(empty()));
		}

		// Guards against a departure that fails because one receiver has a full disk.
		@Test
		void transfersToNextMemberIfChosenOneIsFull() {
			storeChains();
			TurnRepairTests.this.fleet.disks.get("a2").isFull = true;
			var departure = TurnRepairTests.this.fleet.ledgers.get("a1").leave();
			TurnRepairTests.this.fleet.timer.advance(10_000);
			departure.join();
			TurnRepairTests.this.fleet.crash("a1");
			for (int i = 0; i < CHAINS; i++) {
				assertThat(TurnRepairTests.this.fleet.holders("g" + i + "-2").size(), greaterThanOrEqualTo(3));
			}
		}

		// Guards against a machine that is removed with the only copies of its turns.
		@Test
		void failsAndCanBeRepeatedWhileNoOtherMemberStoresTurns() {
			storeChains();
			TurnReplicaFleet.NAMES.stream()
				.filter((name) -> !name.equals("a1"))
				.forEach((name) -> TurnRepairTests.this.fleet.disks.get(name).isFull = true);
			TurnRepairTests.this.fleet.store(turn("only", null, "g"), List.of("a1"));
			var departure = TurnRepairTests.this.fleet.ledgers.get("a1").leave();
			TurnRepairTests.this.fleet.timer.advance(20_000);
			assertThat(departure.isCompletedExceptionally(), is(true));
			TurnRepairTests.this.fleet.disks.values().forEach((disk) -> disk.isFull = false);
			var repeated = TurnRepairTests.this.fleet.ledgers.get("a1").leave();
			TurnRepairTests.this.fleet.timer.advance(20_000);
			repeated.join();
			TurnRepairTests.this.fleet.crash("a1");
			assertThat(TurnRepairTests.this.fleet.holders("only").size(), greaterThanOrEqualTo(3));
		}

	}

}
