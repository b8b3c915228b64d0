package dev.nutmegdoor.core.conversation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.conversation.TurnMembers.MemberOutcome;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;

/**
 * Searches members for one turn: the chosen member of the own zone first, then those of
 * other zones one after the other, then all. Each answer also contains turns before it.
 */
final class TurnSearch {

	/**
	 * Time in milliseconds after which the next member is asked, too. 200 KB take 110 ms
	 * on the slowest links, and a second answer would slow down the first one.
	 */
	static final long NEXT_MS = 120;

	/** Maximum wait for an answer of up to 1 MiB on a slow link in milliseconds. */
	static final long ANSWER_TIMEOUT_MS = 1_000;

	/**
	 * Wait in milliseconds for members that were out of reach, after all others have
	 * answered without the turn.
	 */
	static final long UNREACHABLE_GRACE_MS = 60;

	private final CompletableFuture<TurnChain> result = new CompletableFuture<>();

	private final ConversationDependencies dependencies;

	private final TurnMembers members;

	private final TurnKey key;

	private final Deque<LedgerMember> chosenMembers = new ArrayDeque<>();

	private final Set<InstanceId> asked = new HashSet<>();

	private final Set<InstanceId> pending = new HashSet<>();

	private final Set<InstanceId> lacking = new HashSet<>();

	private final List<String> uncertain = new ArrayList<>();

	private @Nullable InstanceId source;

	private boolean isEveryMemberAsked;

	private boolean isGraceStarted;

	/**
	 * Creates a search.
	 * @param dependencies transport, timer and log
	 * @param members members to ask
	 * @param key workspace and identifier of the turn
	 * @param group group that the turn probably belongs to
	 * @param lackingMember member that is known to lack the turn, or {@code null}
	 */
	TurnSearch(ConversationDependencies dependencies, TurnMembers members, TurnKey key, String group,
			@Nullable InstanceId lackingMember) {
		this.dependencies = dependencies;
		this.members = members;
		this.key = key;
		members.byZone(group).forEach((zone, candidates) -> {
			boolean isOwnZone = zone.equals(dependencies.zone());
			candidates.stream()
				.filter((member) -> members.isReachable(member.id()) && !member.id().equals(lackingMember))
				.findFirst()
				.ifPresent((member) -> {
					if (isOwnZone) {
						this.chosenMembers.addFirst(member);
					}
					else {
						this.chosenMembers.addLast(member);
					}
				});
		});
	}

	CompletableFuture<TurnChain> result() {
		return this.result;
	}

	/**
	 * Returns the member whose answer is the result.
	 * @return the member, or {@code null} if the search has failed
	 */
	@Nullable InstanceId source() {
		return this.source;
	}

	String describe() {
		return "turn " + this.key.id() + " is not at " + this.lacking + ", no certain answer from " + this.uncertain
				+ ", pending " + this.pending + ", list of members complete: " + this.members.isListComplete();
	}

	void start() {
		askNext();
	}

	private void askNext() {
		if (this.result.isDone() || this.isEveryMemberAsked) {
			return;
		}
		LedgerMember next = this.chosenMembers.poll();
		if (next == null) {
			this.isEveryMemberAsked = true;
			decide();
			return;
		}
		int askedCount = this.asked.size() + 1;
		this.dependencies.timer().schedule(NEXT_MS, () -> {
			if (this.asked.size() == askedCount) {
				askNext();
			}
		});
		ask(next.id());
	}

	private void ask(InstanceId id) {
		this.asked.add(id);
		this.pending.add(id);
		this.dependencies.transport()
			.request(id, new TurnQuery(this.key, this.dependencies.members().fingerprint()), TurnChain.class,
					ANSWER_TIMEOUT_MS)
			.whenComplete((answer, error) -> answered(id, answer, error));
	}

	private void answered(InstanceId id, @Nullable TurnChain answer, @Nullable Throwable error) {
		this.pending.remove(id);
		MemberOutcome outcome = this.members.record(id, error);
		if (answer != null) {
			this.members.update(answer.members());
		}
		if (this.result.isDone()) {
			return;
		}
		if (answer != null && !answer.turns().isEmpty() && answer.turns().get(0).key().equals(this.key)) {
			this.source = id;
			this.result.complete(answer);
			return;
		}
		if (answer != null && answer.turns().isEmpty() && answer.isComplete()) {
			this.lacking.add(id);
		}
		else if (outcome != MemberOutcome.UNSUPPORTED) {
			this.uncertain.add(id + ": " + ((error != null) ? String.valueOf(error.getMessage()) : "incomplete"));
		}
		if (this.isEveryMemberAsked) {
			decide();
		}
		else {
			askNext();
		}
	}

	// Members that other members list are asked as well, because this instance may not
	// know all of them.
	private void decide() {
		// One that was of a version without turns may have been upgraded since.
		for (LedgerMember member : List.copyOf(this.dependencies.members().all())) {
			if (!this.result.isDone() && !this.asked.contains(member.id())) {
				ask(member.id());
			}
		}
		if (this.result.isDone()) {
			return;
		}
		if (this.pending.isEmpty()) {
			boolean isCertain = this.uncertain.isEmpty() && !this.lacking.isEmpty() && this.members.isListComplete();
			fail(isCertain ? ConversationFailure.NOT_FOUND : ConversationFailure.UNCERTAIN);
		}
		else if (!this.isGraceStarted && this.pending.stream().noneMatch(this.members::isReachable)) {
			this.isGraceStarted = true;
			this.dependencies.timer().schedule(UNREACHABLE_GRACE_MS, () -> {
				if (!this.result.isDone() && this.pending.stream().noneMatch(this.members::isReachable)) {
					fail(ConversationFailure.UNCERTAIN);
				}
			});
		}
	}

	private void fail(ConversationFailure failure) {
		this.result.completeExceptionally(new ConversationException(failure, describe()));
	}

}
