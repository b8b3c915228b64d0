package dev.nutmegdoor.core.ledger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class LedgerTests {

	private static final long BUDGET = 396;

	private static final long TURN = 132;

	private final LedgerFleet fleet = new LedgerFleet(1);

	@Nested
	class Budgets {

		// Guards against a program that gets more than its budget through several
		// instances.
		@Test
		void limitsTokensAcrossAllInstances() {
			long granted = LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			granted += LedgerTests.this.fleet.spendAll("g-b", "p", TURN, BUDGET);
			assertThat(granted, is(BUDGET));
			assertThat(LedgerTests.this.fleet.reserve("g-c", "p", TURN, BUDGET).rule(), is(LedgerRule.SPENT));
		}

		// Guards against tokens that stay charged although they were never generated.
		@Test
		void grantsReleasedTokensAgain() {
			LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			LedgerTests.this.fleet.gateways.get("g-a").release("p", TURN);
			LedgerTests.this.fleet.timer.advance(200);
			assertThat(LedgerTests.this.fleet.reserve("g-b", "p", TURN, BUDGET).rule(), is(LedgerRule.GRANTED));
		}

		// Guards against a program under way that is taken for a new one, and the other
		// way round.
		@Test
		void reportsOnlyFirstReservationOfProgramAsFirst() {
			assertThat(LedgerTests.this.fleet.reserve("g-a", "p", TURN, BUDGET).isFirst(), is(true));
			assertThat(LedgerTests.this.fleet.reserve("g-b", "p", TURN, BUDGET).isFirst(), is(false));
		}

		// Guards against a refused beginning of a program that counts as a program under
		// way when it comes back, and so escapes the rules for beginnings.
		@Test
		void reportsReservationAsFirstAfterRelease() {
			assertThat(LedgerTests.this.fleet.reserve("g-a", "q", TURN, BUDGET).isFirst(), is(true));
			LedgerTests.this.fleet.release("g-a", "q", TURN);
			assertThat(LedgerTests.this.fleet.reserve("g-a", "q", TURN, BUDGET).isFirst(), is(true));
		}

		// Guards against concurrent turns at two instances that both use the last tokens.
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

		// Guards against a budget that is spent once on each side of a cut.
		@Test
		void limitsTokensOfBothSidesToBudgetAndOneTurn() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			long granted = LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET);
			granted += LedgerTests.this.fleet.spendAll("g-b", "p", TURN, BUDGET);
			assertThat(granted, lessThanOrEqualTo(BUDGET + TURN));
		}

		// Guards against two parts that are both granted the rest of a turn.
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

		// Guards against a zone that stands still because it is cut off.
		@Test
		void grantsPartitionedZoneItsShare() {
			LedgerTests.this.fleet.setPartitioned("a", true);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(TURN));
		}

		// Guards against a refusal for good while the rest of the budget may be free on
		// the other side.
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

		// Guards against an instance that serves nothing because it is cut off from the
		// replicas, although other instances reach them.
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
	class ReplicaFailures {

		// Guards against a budget that starts anew after all processes were killed.
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

		// Guards against an empty disk that brings spent tokens back.
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

		// Guards against turns that wait for a replica that is gone.
		@Test
		void grantsTokensWhileOneReplicaIsDown() {
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.reserve("g-a", "first", TURN, BUDGET);
			assertThat(LedgerTests.this.fleet.spendAll("g-a", "p", TURN, BUDGET), is(2 * TURN));
		}

		// Guards against a lost replica that holds its share of all budgets back for
		// long.
		@Test
		void replacesLostReplicaInMemberList() {
			LedgerTests.this.fleet.crash("r-b");
			LedgerTests.this.fleet.startReplica("r-d", "b", false);
			LedgerTests.this.fleet.timer.advance(3_500);
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").members(),
					is(LedgerTests.this.fleet.replicas.get("r-d").members()));
			assertThat(LedgerTests.this.fleet.replicas.get("r-a").members(), is(3));
		}

		// Guards against a replica that is replaced at another address and never used.
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
			assertThat(LedgerTests.this.fleet.replicas.get("r-d").programs(), greaterThan(0));
		}

	}

	@Nested
	class Retirement {

		// Guards against spent tokens that are lost with a machine that was emptied, when
		// another one loses its disk just after.
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
