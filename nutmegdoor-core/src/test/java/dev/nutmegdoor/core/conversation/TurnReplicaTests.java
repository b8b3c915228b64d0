package dev.nutmegdoor.core.conversation;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;

import static dev.nutmegdoor.core.conversation.TurnReplicaFleet.key;
import static dev.nutmegdoor.core.conversation.TurnReplicaFleet.turn;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TurnReplicaTests {

	private final TurnReplicaFleet fleet = new TurnReplicaFleet(1);

	private void storeChain(String... names) {
		this.fleet.store(turn("t1", null, "g"), List.of(names));
		this.fleet.store(turn("t2", "t1", "g"), List.of(names));
		this.fleet.store(turn("t3", "t2", "g"), List.of(names));
	}

	@Nested
	class Storing {

		// Guards against a turn that is confirmed before it is on the disk and is gone
		// when the member is killed.
		@Test
		void confirmsNothingThatAKilledMemberHasNotWritten() {
			var answer = TurnReplicaTests.this.fleet.request("a1", new TurnStore(turn("t1", null, "g")),
					TurnStored.class);
			while (TurnReplicaTests.this.fleet.timer.runNext()) {
				if (!TurnReplicaTests.this.fleet.disks.get("a1").durable.isEmpty() || answer.isDone()) {
					break;
				}
			}
			assertThat(answer.isDone(), is(false));
			assertThat(TurnReplicaTests.this.fleet.disks.get("a1").durable.keySet(), contains(key("t1")));
			TurnReplicaFleet other = new TurnReplicaFleet(1);
			var lost = other.request("a1", new TurnStore(turn("t1", null, "g")), TurnStored.class);
			other.timer.advance(1);
			other.crash("a1");
			other.timer.advance(TurnReplicaFleet.REQUEST_TIMEOUT_MS);
			assertThat(lost.isCompletedExceptionally(), is(true));
			other.start("a1", false);
			other.timer.advance(2_000);
			assertThat(other.query("a1", "t1").turns(), is(empty()));
			assertThat(other.store(turn("t1", null, "g"), List.of("a1")), contains("a1"));
		}

		// Guards against a frozen member that refuses the repetition of a turn that it
		// has stored after the sender gave up.
		@Test
		void confirmsRepetitionOfTurnThatFrozenMemberStoredLate() {
			TurnReplicaTests.this.fleet.hosts.get("a1").pause();
			assertThat(TurnReplicaTests.this.fleet.store(turn("t1", null, "g"), List.of("a1")), is(empty()));
			TurnReplicaTests.this.fleet.hosts.get("a1").resume();
			TurnReplicaTests.this.fleet.timer.advance(100);
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t1"), contains("t1"));
			assertThat(TurnReplicaTests.this.fleet.store(turn("t1", null, "g"), List.of("a1")), contains("a1"));
			assertThat(TurnReplicaTests.this.fleet.replicas.get("a1").turnCount(), is(1));
		}

		// Guards against a member with a full disk that confirms turns, and against one
		// that stays unusable when there is space again.
		@Test
		void refusesTurnWhileDiskIsFull() {
			TurnReplicaTests.this.fleet.disks.get("a1").isFull = true;
			assertThat(TurnReplicaTests.this.fleet.store(turn("t1", null, "g"), List.of("a1", "a2")), contains("a2"));
			assertThat(TurnReplicaTests.this.fleet.replicas.get("a1").refusedAppends(), is(1L));
			assertThat(TurnReplicaTests.this.fleet.query("a1", "t1").turns(), is(empty()));
			TurnReplicaTests.this.fleet.disks.get("a1").isFull = false;
			assertThat(TurnReplicaTests.this.fleet.store(turn("t1", null, "g"), List.of("a1")), contains("a1"));
		}

		// Guards against a turn of two gateways' attempts that is written twice.
		@Test
		void writesConcurrentRepetitionsOnce() {
			var first = TurnReplicaTests.this.fleet.request("a1", new TurnStore(turn("t1", null, "g")),
					TurnStored.class);
			var second = TurnReplicaTests.this.fleet.request("a1", new TurnStore(turn("t1", null, "g")),
					TurnStored.class);
			TurnReplicaTests.this.fleet.timer.advance(100);
			assertThat(first.join(), is(second.join()));
			assertThat(TurnReplicaTests.this.fleet.replicas.get("a1").contentBytes(), is(103L));
		}

	}

	@Nested
	class Reading {

		// Guards against a chain that is returned in another order or with other bytes.
		@Test
		void returnsChainNewestFirst() {
			storeChain("a1");
			TurnChain chain = TurnReplicaTests.this.fleet.query("a1", "t3");
			assertThat(chain.turns().stream().map((turn) -> turn.key().id()).toList(), contains("t3", "t2", "t1"));
			assertThat(chain.turns().get(2).input(), is(turn("t1", null, "g").input()));
			assertThat(chain.turns().get(2).output(), is(turn("t1", null, "g").output()));
			assertThat(chain.missingId(), is(nullValue()));
			assertThat(chain.isComplete(), is(true));
		}

		// Guards against a chain whose middle is left out without a notice.
		@Test
		void namesFirstTurnThatItLacks() {
			TurnReplicaTests.this.fleet.store(turn("t1", null, "g"), List.of("a1"));
			TurnReplicaTests.this.fleet.store(turn("t3", "t2", "g"), List.of("a1"));
			TurnChain chain = TurnReplicaTests.this.fleet.query("a1", "t3");
			assertThat(chain.turns(), hasSize(1));
			assertThat(chain.missingId(), is("t2"));
		}

		// Guards against answers that exceed the frame between processes.
		@Test
		void returnsAtMostOneMebibyteAndNamesTheNextTurn() {
			TurnReplicaTests.this.fleet.store(turn("t1", null, "g", 600_000), List.of("a1"));
			TurnReplicaTests.this.fleet.store(turn("t2", "t1", "g", 600_000), List.of("a1"));
			TurnChain chain = TurnReplicaTests.this.fleet.query("a1", "t2");
			assertThat(chain.turns(), hasSize(1));
			assertThat(chain.missingId(), is("t1"));
		}

		// Guards against a workspace that reads the turns of another one.
		@Test
		void returnsNoTurnOfAnotherWorkspace() {
			storeChain("a1");
			TurnChain chain = TurnReplicaTests.this.fleet.query("a1", new TurnKey("other", "t3"), 0);
			assertThat(chain.turns(), is(empty()));
		}

		// Guards against two continuations of one turn of which one replaces the other.
		@Test
		void keepsTwoTurnsThatContinueTheSameTurn() {
			storeChain("a1");
			TurnReplicaTests.this.fleet.store(turn("t4", "t2", "g"), List.of("a1"));
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t3"), contains("t3", "t2", "t1"));
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t4"), contains("t4", "t2", "t1"));
		}

		// Guards against the member list in each answer, and against gateways that never
		// learn of a change.
		@Test
		void returnsMembersOnlyToReaderThatKnowsOthers() {
			List<LedgerMember> listed = TurnReplicaTests.this.fleet.query("a1", key("t1"), 0).members();
			assertThat(listed, hasSize(TurnReplicaFleet.NAMES.size()));
			long fingerprint = LedgerMembers.fingerprintOf(listed);
			assertThat(TurnReplicaTests.this.fleet.query("a1", key("t1"), fingerprint).members(), is(empty()));
		}

		// Guards against a damaged record that is reported as a turn that never existed.
		@Test
		void copiesDamagedTurnFromOthersBeforeItIsCompleteAgain() {
			List<String> chosen = TurnReplicaFleet.chosen("g");
			String damaged = chosen.get(0);
			storeChain(chosen.toArray(String[]::new));
			TurnReplicaTests.this.fleet.disks.get(damaged).damaged.add(key("t2"));
			TurnChain chain = TurnReplicaTests.this.fleet.query(damaged, "t3");
			assertThat(chain.turns(), hasSize(1));
			assertThat(chain.missingId(), is("t2"));
			assertThat(chain.isComplete(), is(false));
			TurnReplicaTests.this.fleet.timer.advance(3_000);
			assertThat(TurnReplicaTests.this.fleet.ids(damaged, "t3"), contains("t3", "t2", "t1"));
			assertThat(TurnReplicaTests.this.fleet.replicas.get(damaged).isComplete(), is(true));
		}

	}

	@Nested
	class Retention {

		private static final long STEP_MS = 50_000;

		// Guards against a conversation whose first turns expire while it goes on.
		@Test
		void keepsChainAsLongAsItsNewestTurn() {
			TurnReplicaTests.this.fleet.store(turn("t0", null, "g"), List.of("a1"));
			for (int i = 1; i <= 6; i++) {
				TurnReplicaTests.this.fleet.timer.advance(STEP_MS);
				TurnReplicaTests.this.fleet.store(turn("t" + i, "t" + (i - 1), "g"), List.of("a1"));
			}
			TurnReplicaTests.this.fleet.timer.advance(STEP_MS);
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t6"), hasSize(7));
		}

		// Guards against a disk that fills with turns that nobody may name any more.
		@Test
		void removesExpiredTurns() {
			storeChain("a1");
			TurnReplicaTests.this.fleet.timer.advance(TurnReplicaFleet.RETENTION_MS + 2 * TurnStorage.MARGIN_MS);
			assertThat(TurnReplicaTests.this.fleet.replicas.get("a1").turnCount(), is(0));
			assertThat(TurnReplicaTests.this.fleet.disks.get("a1").durable.keySet(), is(empty()));
		}

		// Guards against a restart that drops the first turns of a chain, whose own
		// records have expired.
		@Test
		void keepsWholeChainAcrossRestart() {
			TurnReplicaTests.this.fleet.store(turn("t0", null, "g"), List.of("a1"));
			for (int i = 1; i <= 4; i++) {
				TurnReplicaTests.this.fleet.timer.advance(STEP_MS);
				TurnReplicaTests.this.fleet.store(turn("t" + i, "t" + (i - 1), "g"), List.of("a1"));
			}
			TurnReplicaTests.this.fleet.restart("a1");
			TurnReplicaTests.this.fleet.timer.advance(STEP_MS);
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t4"), hasSize(5));
			TurnReplicaTests.this.fleet.timer.advance(TurnReplicaFleet.RETENTION_MS + TurnStorage.MARGIN_MS);
			assertThat(TurnReplicaTests.this.fleet.replicas.get("a1").turnCount(), is(0));
		}

		// Guards against an old turn that expires at once because it was copied after the
		// turn that continues it.
		@Test
		void keepsTurnThatArrivesAfterItsSuccessor() {
			TurnReplicaTests.this.fleet.store(turn("t2", "t1", "g"), List.of("a1"));
			StoredTurn old = turn("t1", null, "g");
			TurnReplicaTests.this.fleet
				.store(new StoredTurn(old.key(), null, old.group(), old.input(), old.output(), 1), List.of("a1"));
			TurnReplicaTests.this.fleet.timer.advance(TurnReplicaFleet.RETENTION_MS - 5_000);
			assertThat(TurnReplicaTests.this.fleet.ids("a1", "t2"), contains("t2", "t1"));
		}

	}

}
