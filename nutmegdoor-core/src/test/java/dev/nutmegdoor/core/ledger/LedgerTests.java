package dev.nutmegdoor.core.ledger;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LedgerTests {

	private static final long BUDGET = 396;

	private static final long TURN = 132;

	private final LedgerFleet fleet = new LedgerFleet(1);

	@Nested
	class Budgets {

		// Guards against a program that exceeds its budget by sending its turns through
		// several instances.
		@Test
		void limitsTokensAcrossAllInstances() {
			long granted = LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			granted += LedgerTests.this.fleet.spendAll("g-b", "p", TURN, BUDGET);
			assertThat(granted, is(BUDGET));
			assertThat(LedgerTests.this.fleet.reserve("g-c", "p", TURN, BUDGET).rule(), is(LedgerRule.SPENT));
		}

		// Guards against tokens that remain charged to a program although they were never
		// generated.
		@Test
		void grantsReleasedTokensAgain() {
			LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			LedgerTests.this.fleet.gateways.get("g-a").release("p", TURN);
			LedgerTests.this.fleet.timer.advance(200);
			assertThat(LedgerTests.this.fleet.reserve("g-b", "p", TURN, BUDGET).rule(), is(LedgerRule.GRANTED));
		}

		// Guards against a budget that is spent twice because an instance forgets what it
		// has charged while turns through another one keep the program alive.
		@Test
		void limitsTokensOfProgramThatReturnsToInstance() {
			long budget = 10 * TURN;
			long granted = 0;
			for (int i = 0; i < 5; i++) {
				granted += LedgerTests.this.fleet.reserve("g-a", "p", TURN, budget).tokens();
			}
			for (int i = 0; i < 4; i++) {
				LedgerTests.this.fleet.timer.advance(LedgerFleet.RETENTION_MS / 3);
				granted += LedgerTests.this.fleet.reserve("g-b", "p", TURN, budget).tokens();
			}
			granted += LedgerTests.this.fleet.spendAll("g-a", "p", TURN, budget);
			assertThat(granted, is(budget));
		}

		// Guards against a running program that is treated as a new one, and a new
		// program that is treated as running.
		@Test
		void reportsOnlyFirstReservationOfProgramAsFirst() {
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).isFirst(), is(true));
			assertThat(LedgerTests.this.fleet.reserve("g-b", "p", TURN, BUDGET).isFirst(), is(false));
		}

		// Guards against a program whose first turn was rejected and that is treated as
		// running when the turn is retried, so that it evades the admission rules for new
		// programs.
		@Test
		void reportsReservationAsFirstAfterRelease() {
			assertThat(LedgerTests.this.fleet.reserve("g-a", "q", TURN, BUDGET).isFirst(), is(true));
			LedgerTests.this.fleet.release("g-a", "q", TURN);
			assertThat(LedgerTests.this.fleet.reserve("g-a", "q", TURN, BUDGET).isFirst(), is(true));
		}

		// Guards against concurrent turns on two instances that are both granted the last
		// tokens.
		@Test
		void limitsTokensOfConcurrentTurns() {
			for (int i = 0; i < 20; i++) {
				String program = "p" + i;
				var first = LedgerTests.this.fleet.gateways.get("g-a").reserve(program, TURN, TURN, 60_000);
				var second = LedgerTests.this.fleet.gateways.get("g-b").reserve(program, TURN, TURN, 60_000);
				LedgerTests.this.fleet.timer.advance(600);
				assertThat(first.join().tokens() + second.join().tokens(), lessThanOrEqualTo(TURN));
			}
		}

	}

	@Nested
	class NetworkPartitions {

		// Guards against a budget that is spent once on each side of a network partition.
		@Test
		void limitsTokensOfBothSidesToBudgetAndOneTurn() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			long granted = LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			granted += LedgerTests.this.fleet.spendAll("g-b", "p", TURN, BUDGET);
			assertThat(granted, lessThanOrEqualTo(BUDGET + TURN));
		}

		// Guards against two sides of a network partition that may each exceed the budget
		// by the rest of a turn.
		@Test
		void limitsOverrunToOneTurnForAnyTurnSize() {
			for (long turn : new long[] { 20, 50, 100, 132, 200 }) {
				LedgerFleet partitionedFleet = new LedgerFleet(turn);
				partitionedFleet.setPartitioned("a", true);
				long granted = partitionedFleet.spendAll("g-a", "p", turn, BUDGET)
						+ partitionedFleet.spendAll("g-b", "p", turn, BUDGET)
						+ partitionedFleet.spendAll("g-c", "p", turn, BUDGET);
				assertThat(granted, lessThanOrEqualTo(BUDGET + turn));
			}
		}

		// Guards against a partitioned zone in which no turn can run.
		@Test
		void grantsPartitionedZoneItsShare() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(TURN));
		}

		// Guards against a conclusive rejection while the rest of the budget may be
		// available on the other side of the network partition.
		@Test
		void returnsUndecidedWhenPartitionedZoneHasUsedItsShare() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).rule(), is(LedgerRule.UNDECIDED));
			LedgerTests.this.fleet.setPartitioned("a", false);
			LedgerTests.this.fleet.timer.advance(2_000);
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).rule(), is(LedgerRule.GRANTED));
		}

	}

	@Nested
	class Proxies {

		// Guards against an instance that serves no turns because it cannot reach the
		// replicas, although other instances can.
		@Test
		void forwardsReservationsOfInstanceThatCannotReachReplicas() {
			for (String zone : LedgerFleet.ZONES) {
				LedgerTests.this.fleet.network.setCut(new InstanceId("g-a"), new InstanceId("r-" + zone), true);
			}
			LedgerTests.this.fleet.reserve("g-a", "first", TURN, BUDGET);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(BUDGET));
			assertThat(LedgerTests.this.fleet.reserve("g-b", "p", TURN, BUDGET).rule(), is(LedgerRule.SPENT));
		}

	}

	@Nested
	class MemberList {

		private final List<Integer> listedMembers = new ArrayList<>();

		@BeforeEach
		void observeAnswers() {
			LedgerTests.this.fleet.network.setObserver((message) -> {
				if (message instanceof LedgerAnswer answer) {
					this.listedMembers.add(answer.members().size());
				}
			});
		}

		// Guards against answers that carry the whole member list with each turn.
		@Test
		void isNotSentToGatewayThatKnowsIt() {
			LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET);
			assertThat(this.listedMembers, everyItem(is(0)));
			assertThat(this.listedMembers, hasSize(LedgerFleet.ZONES.size()));
		}

		// Guards against gateways that never learn of a new replica.
		@Test
		void isSentAfterChange() {
			LedgerTests.this.fleet.startReplica("r-d", "b", false);
			LedgerTests.this.fleet.timer.advance(2_500);
			LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET);
			assertThat(this.listedMembers, hasItem(4));
			this.listedMembers.clear();
			LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET);
			assertThat(this.listedMembers, is(List.of(0, 0, 0, 0)));
		}

	}

	@Nested
	class ReplicaFailures {

		// Guards against a budget that can be spent again after all processes were
		// killed.
		@Test
		void keepsSpentBudgetsWhenAllProcessesCrash() {
			long granted = LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			for (String zone : LedgerFleet.ZONES) {
				LedgerTests.this.fleet.crash("r-" + zone);
				LedgerTests.this.fleet.crash("g-" + zone);
			}
			for (String zone : LedgerFleet.ZONES) {
				LedgerTests.this.fleet.startReplica("r-" + zone, zone, false);
			}
			LedgerTests.this.fleet.timer.advance(2_000);
			LedgerTests.this.fleet.startGateway("g-a", "a");
			LedgerTests.this.fleet.timer.advance(100);
			assertThat(granted, is(BUDGET));
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).tokens(), is(0L));
		}

		// Guards against spent tokens that become available again because a replica
		// restarts with an empty disk.
		@Test
		void copiesEntriesOfOtherReplicasAfterDiskLoss() {
			LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			LedgerTests.this.fleet.crash("r-a");
			LedgerTests.this.fleet.disks.remove("r-a");
			LedgerTests.this.fleet.startReplica("r-a", "a", false);
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").isServing(), is(false));
			LedgerTests.this.fleet.timer.advance(2_000);
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").isServing(), is(true));
			LedgerTests.this.fleet.setPartitioned("a", true);
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).tokens(), is(0L));
		}

		// Guards against turns that are delayed or rejected because a replica is down.
		@Test
		void grantsTokensWhileOneReplicaIsDown() {
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.reserve("g-a", "first", TURN, BUDGET);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(2 * TURN));
		}

		// Guards against a lost replica whose share of all budgets stays unusable for
		// long.
		@Test
		void replacesLostReplicaInMemberList() {
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.startReplica("r-d", "b", false);
			LedgerTests.this.fleet.timer.advance(3_500);
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").memberCount(),
					is(LedgerTests.this.fleet.replicas.get("r-d").memberCount()));
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").memberCount(), is(3));
		}

		// Guards against a replica that replaces another one under a new address and
		// never receives reservations.
		@Test
		void sendsReservationsToReplacementOfLostReplica() {
			LedgerTests.this.fleet.spendAll("g-a", "old", TURN, BUDGET);
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.startReplica("r-d", "b", false);
			LedgerTests.this.fleet.timer.advance(3_000);
			LedgerTests.this.fleet.reserve("g-a", "first", TURN, BUDGET);
			LedgerTests.this.fleet.timer.advance(LedgerSettings.DEFAULT.forgetMs());
			LedgerTests.this.fleet.reserve("g-a", "second", TURN, BUDGET);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(BUDGET));
			assertThat(LedgerTests.this.fleet.replicas.get("r-d").programCount(), greaterThan(0));
		}

	}

	@Nested
	class Retirement {

		// Guards against spent tokens that become available again because a retired
		// machine takes its entries with it and another one loses its disk shortly
		// afterwards.
		@Test
		void transfersEntriesToOtherReplicas() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			LedgerTests.this.fleet.setPartitioned("a", false);
			LedgerTests.this.fleet.timer.advance(2_000);
			var departure = LedgerTests.this.fleet.replicas.get("r-a").leave();
			LedgerTests.this.fleet.timer.advance(2_000);
			departure.join();
			LedgerTests.this.fleet.crash("r-a");
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.disks.remove("r-b");
			LedgerTests.this.fleet.startReplica("r-b", "b", false);
			LedgerTests.this.fleet.timer.advance(3_000);
			assertThat(LedgerTests.this.fleet.spendAll("g-b", "p", TURN, BUDGET), lessThanOrEqualTo(BUDGET - TURN));
		}

	}

}
