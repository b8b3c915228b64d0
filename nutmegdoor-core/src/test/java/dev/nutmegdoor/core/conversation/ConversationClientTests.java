package dev.nutmegdoor.core.conversation;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

class ConversationClientTests {

	private final ConversationFleet fleet = new ConversationFleet(3, 3, 2);

	private final ConversationClient client = this.fleet.client("gateway-a", "a");

	private final List<FakeTurnMember> chosen = List.of(this.fleet.chosen("g", "a"), this.fleet.chosen("g", "b"),
			this.fleet.chosen("g", "c"));

	@AfterEach
	void noInvariantIsViolated() {
		assertThat(this.fleet.invariants.violations(), is(empty()));
	}

	private CompletableFuture<Void> store(String id) {
		return this.client.store(ConversationFleet.turn(id, null));
	}

	private void advance(long ms) {
		this.fleet.timer.advance(ms);
	}

	@Nested
	class StoringTurns {

		// Guards against turns that are lost with a zone, and against members that
		// receive
		// turns without need.
		@Test
		void usesChosenMemberOfEachZone() {
			CompletableFuture<Void> stored = store("t");
			advance(10);
			assertThat(stored.isDone(), is(true));
			advance(2_000);
			assertThat(ConversationClientTests.this.fleet.holders("t"),
					containsInAnyOrder(ConversationClientTests.this.chosen.stream()
						.map((member) -> member.member.id().value())
						.toArray()));
			assertThat(ConversationClientTests.this.fleet.members.values()
				.stream()
				.mapToInt((member) -> member.receivedStores)
				.sum(), is(3));
		}

		// Guards against a turn that is reported as stored while it is on fewer disks
		// than
		// may fail.
		@Test
		void waitsForThirdCopyWhenMemberIsKilled() {
			ConversationClientTests.this.chosen.get(1).host.crash();
			CompletableFuture<Void> stored = store("t");
			advance(59);
			assertThat(stored.isDone(), is(false));
			advance(10);
			assertThat(stored.isDone(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"),
					hasItem(ConversationClientTests.this.fleet.ordered("g", "b").get(1).member.id().value()));
			assertThat(ConversationClientTests.this.fleet.events, hasItem(startsWith("turn.store-extended")));
		}

		// Guards against each turn waiting for a member that is known to be unreachable.
		@Test
		void sendsToNextMemberAtOnceWhenChosenOneIsKnownToBeUnreachable() {
			ConversationClientTests.this.chosen.get(1).host.crash();
			store("t1");
			advance(2_000);
			CompletableFuture<Void> stored = store("t2");
			advance(10);
			assertThat(stored.isDone(), is(true));
		}

		// Guards against a turn that is lost because a frozen member got it last.
		@Test
		void usesOtherMembersWhileOneIsFrozen() {
			ConversationClientTests.this.chosen.get(0).host.pause();
			CompletableFuture<Void> stored = store("t");
			advance(80);
			assertThat(stored.isDone(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"), hasSize(greaterThanOrEqualTo(3)));
			ConversationClientTests.this.chosen.get(0).host.resume();
		}

		// Guards against turns that fail because one disk is full.
		@Test
		void usesNextMemberAtOnceWhenDiskIsFull() {
			ConversationClientTests.this.chosen.get(2).error = "disk full";
			CompletableFuture<Void> stored = store("t");
			advance(20);
			assertThat(stored.isDone(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"),
					hasItem(ConversationClientTests.this.fleet.ordered("g", "c").get(1).member.id().value()));
			assertThat("a full disk does not make a member unreachable",
					ConversationClientTests.this.fleet.events.stream()
						.noneMatch((event) -> event.startsWith("ledger.lost")),
					is(true));
		}

		// Guards against a turn that is reported as failed although its confirmations
		// were
		// lost from one zone only.
		@Test
		void needsNoConfirmationOfEveryZone() {
			ConversationClientTests.this.fleet.setCutOff("c", true);
			CompletableFuture<Void> stored = store("t");
			advance(80);
			assertThat(stored.isDone(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"), hasSize(greaterThanOrEqualTo(3)));
		}

		// Guards against turns that end before they are durable: the client would see
		// the
		// end of a turn that nobody finds.
		@Test
		void failsWhenTooFewMembersConfirm() {
			ConversationClientTests.this.fleet.members.values()
				.stream()
				.skip(2)
				.forEach((member) -> member.host.crash());
			CompletableFuture<Void> stored = store("t");
			advance(999);
			assertThat(stored.isDone(), is(false));
			advance(2);
			assertThat(ConversationFleet.failureOf(stored), is(ConversationFailure.NOT_STORED));
			assertThat(ConversationClientTests.this.fleet.events, hasItem(startsWith("turn.not-stored")));
		}

		// Guards against a confirmation that is counted although it was never received.
		@Test
		void doesNotCountLostConfirmations() {
			ConversationClientTests.this.fleet.members.values().forEach((member) -> member.isConfirmationLost = true);
			CompletableFuture<Void> stored = store("t");
			advance(1_100);
			assertThat(ConversationFleet.failureOf(stored), is(ConversationFailure.NOT_STORED));
		}

		// Guards against turns that fail until all members are back after all were
		// restarted.
		@Test
		void sendsTurnAgainToMembersThatFailed() {
			ConversationClientTests.this.fleet.members.values().forEach((member) -> member.error = "starting");
			CompletableFuture<Void> stored = store("t");
			advance(300);
			ConversationClientTests.this.fleet.members.values().forEach((member) -> member.error = null);
			advance(400);
			assertThat(stored.isDone() && !stored.isCompletedExceptionally(), is(true));
		}

		// Guards against turns that count members of an older version as disks.
		@Test
		void needsCopiesOnlyOfMembersThatKeepTurns() {
			ConversationClientTests.this.fleet.members.forEach((name, member) -> {
				if (!List.of("a1", "b1").contains(name)) {
					member.error = "unknown type TurnStore";
				}
			});
			CompletableFuture<Void> stored = store("t");
			advance(500);
			assertThat(stored.isDone() && !stored.isCompletedExceptionally(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"), containsInAnyOrder("a1", "b1"));
		}

		// Guards against a deployment with few members that can't store any turn.
		@Test
		void needsNoMoreCopiesThanMembers() {
			ConversationFleet small = new ConversationFleet(1, 1);
			CompletableFuture<Void> stored = small.client("g", "a").store(ConversationFleet.turn("t", null));
			small.timer.advance(20);
			assertThat(stored.isDone(), is(true));
			ConversationFleet single = new ConversationFleet(1);
			CompletableFuture<Void> storedOnce = single.client("g", "a").store(ConversationFleet.turn("t", null));
			single.timer.advance(20);
			assertThat(storedOnce.isDone(), is(true));
		}

		// Guards against a turn that counts as stored while no member is known.
		@Test
		void failsWithoutMembers() {
			CompletableFuture<Void> stored = ConversationClientTests.this.fleet.client("new", "a", List.of())
				.store(ConversationFleet.turn("t", null));
			advance(1_100);
			assertThat(ConversationFleet.failureOf(stored), is(ConversationFailure.NOT_STORED));
		}

	}

	@Nested
	class ZonesThatAreCutOff {

		// Guards against a zone that ends no turn while it is cut off, and against a
		// decision that it is cut off before all others were asked.
		@Test
		void storeTurnsOnTheirOwnMembers() {
			ConversationClientTests.this.fleet.setCutOff("a", true);
			CompletableFuture<Void> stored = store("t1");
			advance(290);
			assertThat(stored.isDone(), is(false));
			advance(710);
			assertThat(stored.isDone() && !stored.isCompletedExceptionally(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t1"), containsInAnyOrder("a1", "a2", "a3"));
			advance(2_000);
			CompletableFuture<Void> next = store("t2");
			advance(130);
			assertThat(next.isDone() && !next.isCompletedExceptionally(), is(true));
		}

		// Guards against a turn on a single disk in a zone with two members.
		@Test
		void needAllMembersIfTheyHaveTwo() {
			ConversationClientTests.this.fleet.setCutOff("c", true);
			ConversationClient inZoneC = ConversationClientTests.this.fleet.client("gateway-c", "c");
			CompletableFuture<Void> stored = inZoneC.store(ConversationFleet.turn("t", null));
			advance(1_000);
			assertThat(stored.isDone() && !stored.isCompletedExceptionally(), is(true));
			assertThat(ConversationClientTests.this.fleet.holders("t"), containsInAnyOrder("c1", "c2"));
			ConversationClientTests.this.fleet.members.get("c1").host.crash();
			CompletableFuture<Void> failed = inZoneC.store(ConversationFleet.turn("t2", null));
			advance(1_100);
			assertThat(ConversationFleet.failureOf(failed), is(ConversationFailure.NOT_STORED));
		}

		// Guards against a lenient rule where one other zone is still in reach.
		@Test
		void areNotAssumedWhileAnotherZoneAnswers() {
			ConversationClientTests.this.fleet.members.forEach((name, member) -> {
				if (!name.startsWith("a")) {
					member.error = "disk full";
				}
			});
			CompletableFuture<Void> stored = store("t");
			advance(1_100);
			assertThat(ConversationFleet.failureOf(stored), is(ConversationFailure.NOT_STORED));
		}

		// Guards against a zone that stays alone with its turns after it is back.
		@Test
		void useOtherZonesAgainWhenTheyAreBack() {
			ConversationClientTests.this.fleet.setCutOff("a", true);
			store("t1");
			advance(3_000);
			ConversationClientTests.this.fleet.setCutOff("a", false);
			store("t2");
			advance(1_000);
			store("t3");
			advance(1_000);
			assertThat(ConversationClientTests.this.fleet.holders("t3")
				.stream()
				.filter((name) -> !name.startsWith("a"))
				.toList(), hasSize(greaterThanOrEqualTo(2)));
		}

	}

	@Nested
	class ReadingChains {

		private final ConversationFleet fleet = ConversationClientTests.this.fleet;

		private final FakeTurnMember chosenA = ConversationClientTests.this.chosen.get(0);

		private final FakeTurnMember chosenB = ConversationClientTests.this.chosen.get(1);

		private final FakeTurnMember chosenC = ConversationClientTests.this.chosen.get(2);

		private String body(String id) {
			return this.fleet.body(ConversationClientTests.this.client, id);
		}

		private ConversationFailure failureOf(String id) {
			CompletableFuture<Chain> chain = this.fleet.read(ConversationClientTests.this.client, id);
			advance(3_000);
			return ConversationFleet.failureOf(chain);
		}

		private int queries() {
			return this.fleet.members.values().stream().mapToInt((member) -> member.receivedQueries).sum();
		}

		// Guards against inputs and outputs in a wrong order, and against bytes that
		// cross
		// zones without need.
		@Test
		void asksChosenMemberOfOwnZoneOnly() {
			this.fleet.storeAt(ConversationFleet.turn("t1", null), this.chosenA);
			this.fleet.storeAt(ConversationFleet.turn("t2", "t1"), this.chosenA);
			assertThat(body("t2"), is("in-t1;out-t1\nin-t2;out-t2\nnew"));
			assertThat(queries(), is(1));
		}

		// Guards against a chain that can't be read because no member has all of it.
		@Test
		void continuesAtOtherMembers() {
			this.fleet.storeAt(ConversationFleet.turn("t1", null), this.chosenB);
			this.fleet.storeAt(ConversationFleet.turn("t2", "t1"), this.fleet.ordered("g", "c").get(1));
			this.fleet.storeAt(ConversationFleet.turn("t3", "t2"), this.chosenA);
			assertThat(body("t3"), is("in-t1;out-t1\nin-t2;out-t2\nin-t3;out-t3\nnew"));
		}

		// Guards against long chains that are cut at the size of one answer.
		@Test
		void continuesWhereAnswerEnds() {
			this.chosenA.maxTurns = 1;
			this.chosenB.maxTurns = 1;
			for (String id : List.of("t1", "t2", "t3")) {
				String previous = id.equals("t1") ? null : "t" + (id.charAt(1) - '1');
				this.fleet.storeAt(ConversationFleet.turn(id, previous), this.chosenA, this.chosenB);
			}
			assertThat(body("t3"), is("in-t1;out-t1\nin-t2;out-t2\nin-t3;out-t3\nnew"));
		}

		// Guards against reads that wait for a member that is frozen or was killed.
		@Test
		void asksNextMemberAfterShortWait() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenA, this.chosenB, this.chosenC);
			this.chosenA.host.pause();
			CompletableFuture<Chain> chain = this.fleet.read(ConversationClientTests.this.client, "t");
			advance(119);
			assertThat(chain.isDone(), is(false));
			advance(11);
			assertThat(chain.isDone(), is(true));
			this.chosenA.host.resume();
		}

		// Guards against a turn that is not found because it is only where a fault put
		// it,
		// or because its group is not known.
		@Test
		void asksAllMembers() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.fleet.ordered("g", "c").get(1));
			assertThat(body("t"), is("in-t;out-t\nnew"));
		}

		// Guards against a sub-agent that can't continue a turn of its parent, which has
		// another program and so another group.
		@Test
		void findTurnsOfOtherGroup() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenA);
			CompletableFuture<Chain> chain = ConversationClientTests.this.client
				.read(new TurnKey(ConversationFleet.WORKSPACE, "t"), "program of a sub-agent", 10_000);
			advance(200);
			assertThat(chain.join().group(), is("g"));
		}

		// Guards against a client that loses a conversation because its turn is reported
		// as unknown by members that have lost it or not yet received it.
		@Test
		void areUncertainWhileMemberIsNotComplete() {
			this.fleet.members.get("c1").isComplete = false;
			assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			this.fleet.members.get("c1").isComplete = true;
			assertThat(failureOf("t"), is(ConversationFailure.NOT_FOUND));
		}

		// Guards against a turn that is reported as unknown while the member that has it
		// does not answer: killed, cut off or with an error.
		@Test
		void areUncertainWhileMemberDoesNotAnswer() {
			this.fleet.members.get("b2").error = "failed to read";
			assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			this.fleet.members.get("b2").error = null;
			this.fleet.members.get("b2").host.crash();
			assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			// Known to be unreachable by now.
			CompletableFuture<Chain> chain = this.fleet.read(ConversationClientTests.this.client, "t");
			advance(200);
			assertThat(ConversationFleet.failureOf(chain), is(ConversationFailure.UNCERTAIN));
		}

		// Guards against a gateway in a zone that is cut off and reports turns of other
		// zones as unknown.
		@Test
		void areUncertainInZoneThatIsCutOff() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenB, this.chosenC);
			this.fleet.setCutOff("a", true);
			assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			this.fleet.setCutOff("a", false);
			assertThat(body("t"), is("in-t;out-t\nnew"));
		}

		// Guards against 404 at a gateway that has just started and knows few members.
		@Test
		void askMembersThatOnlyOthersList() {
			FakeTurnMember known = this.fleet.members.get("a1");
			FakeTurnMember unknown = this.fleet.addMember("b", 9);
			known.listedMembers = List.of(known.member, unknown.member);
			ConversationClient started = this.fleet.client("started", "a", List.of(known.member));
			this.fleet.storeAt(ConversationFleet.turn("t", null), unknown);
			assertThat(this.fleet.body(started, "t"), is("in-t;out-t\nnew"));
		}

		// Guards against a member that was replaced at another address and is asked at
		// the old one.
		@Test
		void learnNewAddressOfMember() {
			LedgerMember old = new LedgerMember(new InstanceId("gone"), new AvailabilityZone("b"), "10.0.0.2", 7);
			FakeTurnMember known = this.fleet.members.get("a1");
			known.listedMembers = List.of(known.member);
			ConversationClient reader = this.fleet.client("reader", "a", List.of(known.member, old));
			CompletableFuture<Chain> first = this.fleet.read(reader, "t");
			advance(3_000);
			assertThat(ConversationFleet.failureOf(first), is(ConversationFailure.UNCERTAIN));
			CompletableFuture<Chain> second = this.fleet.read(reader, "t");
			advance(3_000);
			assertThat("the member may only be unreachable", ConversationFleet.failureOf(second),
					is(ConversationFailure.UNCERTAIN));
			advance(20_000);
			this.fleet.isMemberListRead = true;
			CompletableFuture<Chain> third = this.fleet.read(reader, "t");
			advance(3_000);
			assertThat("a member that nobody lists is forgotten", ConversationFleet.failureOf(third),
					is(ConversationFailure.NOT_FOUND));
		}

		// Guards against 404 at a gateway that restarts with the members of a zone that
		// is
		// cut off, so that they know only each other.
		@Test
		void areUncertainWhileMembersOfOneZoneAreKnown() {
			List<LedgerMember> zoneMembers = List.of(this.fleet.members.get("a1").member,
					this.fleet.members.get("a2").member);
			ConversationClient reader = this.fleet.client("reader", "a", zoneMembers);
			CompletableFuture<Chain> unlisted = this.fleet.read(reader, "t");
			advance(3_000);
			assertThat(ConversationFleet.failureOf(unlisted), is(ConversationFailure.UNCERTAIN));
			this.fleet.isMemberListRead = true;
			CompletableFuture<Chain> listed = this.fleet.read(reader, "t");
			advance(3_000);
			assertThat(ConversationFleet.failureOf(listed), is(ConversationFailure.NOT_FOUND));
		}

		// Guards against 404 in a zone that is cut off, after a member there has
		// restarted
		// and lists only itself.
		@Test
		void areUncertainAfterUnreachableMembersWereForgotten() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenB, this.chosenC);
			this.fleet.setCutOff("a", true);
			assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			List<FakeTurnMember> zoneMembers = this.fleet.ordered("g", "a");
			zoneMembers.forEach(
					(member) -> member.listedMembers = zoneMembers.stream().map((listed) -> listed.member).toList());
			this.fleet.isMemberListRead = true;
			for (int i = 0; i < 3; i++) {
				assertThat(failureOf("t"), is(ConversationFailure.UNCERTAIN));
			}
		}

		// Guards against members of an older version that prevent each certain answer.
		@Test
		void ignoreMembersThatKeepNoTurns() {
			this.fleet.members.get("b1").error = "unknown type TurnQuery";
			assertThat(failureOf("t"), is(ConversationFailure.NOT_FOUND));
		}

		// Guards against certainty without any answer.
		@Test
		void areUncertainWithoutMembers() {
			CompletableFuture<Chain> chain = this.fleet.read(this.fleet.client("new", "a", List.of()), "t");
			advance(10);
			assertThat(ConversationFleet.failureOf(chain), is(ConversationFailure.UNCERTAIN));
		}

		// Guards against a turn that exists and is reported as unknown because an earlier
		// one can't be found.
		@Test
		void areUncertainIfChainHasGap() {
			this.fleet.storeAt(ConversationFleet.turn("t2", "t1"), this.chosenA);
			assertThat(failureOf("t2"), is(ConversationFailure.UNCERTAIN));
		}

		// Guards against a workspace that reads the turns of another one.
		@Test
		void findNoTurnOfOtherWorkspace() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenA, this.chosenB, this.chosenC);
			CompletableFuture<Chain> chain = ConversationClientTests.this.client.read(new TurnKey("other", "t"), "g",
					10_000);
			advance(3_000);
			assertThat(ConversationFleet.failureOf(chain), is(ConversationFailure.NOT_FOUND));
		}

		// Guards against one of two turns that continue the same turn and gets the input
		// of the other.
		@Test
		void keepsBranchesApart() {
			for (StoredTurn turn : List.of(ConversationFleet.turn("t1", null), ConversationFleet.turn("t2", "t1"),
					ConversationFleet.turn("t3", "t1"))) {
				ConversationClientTests.this.client.store(turn);
			}
			advance(1_000);
			assertThat(body("t2"), is("in-t1;out-t1\nin-t2;out-t2\nnew"));
			assertThat(body("t3"), is("in-t1;out-t1\nin-t3;out-t3\nnew"));
		}

		// Guards against messages for turns that the gateway has just stored, and against
		// a cache that answers after the retention time.
		@Test
		void useRecentTurnsWithoutAsking() {
			ConversationClientTests.this.client.store(ConversationFleet.turn("t", null));
			advance(100);
			assertThat(body("t"), is("in-t;out-t\nnew"));
			assertThat(queries(), is(0));
			this.fleet.members.values().forEach((member) -> member.turns.clear());
			advance(60_000);
			assertThat(failureOf("t"), is(ConversationFailure.NOT_FOUND));
		}

		// Guards against a body longer than the configuration allows, and against memory
		// that is never returned.
		@Test
		void refuseChainsThatAreTooLarge() {
			this.fleet.storeAt(ConversationFleet.turn("t1", null), this.chosenA);
			this.fleet.storeAt(ConversationFleet.turn("t2", "t1"), this.chosenA);
			CompletableFuture<Chain> chain = ConversationClientTests.this.client
				.read(new TurnKey(ConversationFleet.WORKSPACE, "t2"), "g", 25);
			advance(10);
			assertThat(ConversationFleet.failureOf(chain), is(ConversationFailure.TOO_LARGE));
			assertThat(this.fleet.memory.usedBytes(), is(0L));
			CompletableFuture<Chain> fitting = ConversationClientTests.this.client
				.read(new TurnKey(ConversationFleet.WORKSPACE, "t2"), "g", 26);
			advance(10);
			assertThat(fitting.join().bytes(), is(26));
			assertThat(this.fleet.memory.usedBytes(), is(26L));
		}

		// Guards against a process that runs out of memory because many long chains are
		// read at the same time.
		@Test
		void refuseChainsWhenMemoryIsInUse() {
			this.fleet.storeAt(ConversationFleet.turn("t", null), this.chosenA);
			this.fleet.memory.reserve(99_995);
			assertThat(failureOf("t"), is(ConversationFailure.NO_MEMORY));
			assertThat(this.fleet.memory.usedBytes(), is(99_995L));
		}

	}

	@Nested
	class CachedTurns {

		// Guards against memory that grows with the number of conversations.
		@Test
		void areEvictedLeastRecentlyUsedFirst() {
			TurnCache cache = new TurnCache(3 * (256 + 13));
			for (int i = 1; i <= 3; i++) {
				cache.put(ConversationFleet.turn("t" + i, null), 0);
			}
			cache.get(new TurnKey(ConversationFleet.WORKSPACE, "t1"), 1);
			cache.put(ConversationFleet.turn("t4", null), 1);
			assertThat(cache.get(new TurnKey(ConversationFleet.WORKSPACE, "t2"), 1) == null, is(true));
			assertThat(cache.get(new TurnKey(ConversationFleet.WORKSPACE, "t1"), 1) == null, is(false));
			assertThat(cache.usedBytes(), is(3L * (256 + 13)));
		}

	}

}
