package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Copies the turns that this member is chosen to store and lacks. Each other member has
 * to be asked after the start, after a change of the member list, and after it was
 * unreachable. A member is asked only once its answer to a probe of the ledger says that
 * it has turns, so that nothing is sent in deployments that keep none.
 */
final class TurnCopier {

	private static final long ANSWER_TIMEOUT_MS = 1_000;

	/** Pause in milliseconds after a turn could not be stored, as on a full disk. */
	private static final long STORE_RETRY_MS = 2_000;

	/**
	 * Delay in milliseconds until a missing previous turn is looked for, which may still
	 * be on its way.
	 */
	private static final long MISSING_DELAY_MS = 200;

	private static final int MAX_MISSING = 1_000;

	/**
	 * Time in milliseconds for which a member that has lost its disk stays incomplete
	 * after another member was removed from the list before its turns were copied: the
	 * removed member may have the last copy of a turn, and returns with it. Longer than
	 * turns are usually kept.
	 */
	static final long UNCOPIED_MEMBER_HOLD_MS = 60_000 + TurnStorage.MARGIN_MS;

	private static final int MAX_REQUESTED_TURNS = 200;

	private final LedgerMember self;

	private final PeerTransport transport;

	private final LedgerMembers members;

	private final TurnStorage storage;

	private final TimerService timer;

	private final EventLog events;

	/** Members that have to be asked, with the number of the event that caused it. */
	private final Map<InstanceId, Long> due = new HashMap<>();

	/** Members of {@link #due} that are reachable and have turns. */
	private final Set<InstanceId> ready = new LinkedHashSet<>();

	private final Set<TurnKey> missing = new LinkedHashSet<>();

	private long causes;

	private long retryAtMs = Long.MIN_VALUE;

	/**
	 * Members that were removed before their turns were copied, with the time in
	 * milliseconds until which this member does not count as complete without them.
	 */
	private final Map<InstanceId, Long> uncopied = new HashMap<>();

	/** Time as in {@link #uncopied}, while no member at all has been copied. */
	private long aloneUntilMs = Long.MIN_VALUE;

	private boolean isComplete = true;

	private boolean isJoined;

	private boolean isCopying;

	private boolean isStopped;

	private boolean isLookingForMissing;

	TurnCopier(LedgerMember self, PeerTransport transport, LedgerMembers members, TurnStorage storage,
			TimerService timer, EventLog events) {
		this.self = self;
		this.transport = transport;
		this.members = members;
		this.storage = storage;
		this.timer = timer;
		this.events = events;
	}

	void start(boolean isComplete) {
		this.isComplete = isComplete;
	}

	boolean isComplete() {
		return this.isComplete;
	}

	void stop() {
		this.isStopped = true;
	}

	void joined() {
		this.isJoined = true;
		if (!this.isComplete && this.members.all().isEmpty()) {
			this.aloneUntilMs = holdIncomplete();
		}
		membersChanged();
	}

	void membersChanged() {
		for (InstanceId id : List.copyOf(this.due.keySet())) {
			if (this.members.member(id) == null) {
				this.due.remove(id);
				if (!this.isComplete) {
					this.uncopied.computeIfAbsent(id, (removed) -> holdIncomplete());
				}
			}
		}
		this.members.all().forEach((member) -> this.due.put(member.id(), ++this.causes));
		completeIfCopied();
	}

	private long holdIncomplete() {
		this.timer.schedule(UNCOPIED_MEMBER_HOLD_MS, this::completeIfCopied);
		return this.timer.nowMs() + UNCOPIED_MEMBER_HOLD_MS;
	}

	private void copied(InstanceId id) {
		this.uncopied.remove(id);
		this.aloneUntilMs = Long.MIN_VALUE;
	}

	void memberRegained(InstanceId id) {
		this.due.put(id, ++this.causes);
	}

	void turnsLost() {
		if (this.isComplete) {
			this.isComplete = false;
			this.storage.log().setComplete(false);
		}
		membersChanged();
	}

	void memberAnswered(InstanceId id, @Nullable Long turns) {
		if (!this.due.containsKey(id)) {
			return;
		}
		if (turns == null || turns == 0) {
			this.due.remove(id);
			this.ready.remove(id);
			copied(id);
			completeIfCopied();
			return;
		}
		this.ready.add(id);
		copyNext();
	}

	private void completeIfCopied() {
		if (this.isComplete || !this.isJoined) {
			return;
		}
		long nowMs = this.timer.nowMs();
		boolean isHeld = nowMs < this.aloneUntilMs
				|| this.uncopied.values().stream().anyMatch((untilMs) -> untilMs > nowMs);
		// A member that others still list does not count once the hold has ended.
		if (!isHeld && this.uncopied.keySet().containsAll(this.due.keySet())) {
			this.isComplete = true;
			this.storage.log().setComplete(true);
			this.events.record("turns.complete", "replica", this.self.id(), "turns", this.storage.index().size());
		}
	}

	private void copyNext() {
		if (this.isCopying || this.isStopped || this.timer.nowMs() < this.retryAtMs) {
			return;
		}
		this.ready.removeIf((id) -> !this.due.containsKey(id) || this.members.member(id) == null);
		Iterator<InstanceId> iterator = this.ready.iterator();
		if (!iterator.hasNext()) {
			return;
		}
		InstanceId id = iterator.next();
		iterator.remove();
		this.isCopying = true;
		Long cause = this.due.get(id);
		copyPages(id, null, 0).whenComplete((copied, error) -> {
			this.isCopying = false;
			if (error == null || TurnHandOver.isUnknownType(error)) {
				this.due.remove(id, cause);
				copied(id);
				completeIfCopied();
			}
			else if (TurnHandOver.causeOf(error) instanceof TurnLogException) {
				this.retryAtMs = this.timer.nowMs() + STORE_RETRY_MS;
			}
			if (error != null) {
				this.events.record("turns.copy-failed", "member", id, "error", String.valueOf(error.getMessage()));
			}
			else if (copied > 0) {
				this.events.record("turns.copied", "member", id, "turns", copied);
			}
			copyNext();
		});
	}

	private CompletableFuture<Integer> copyPages(InstanceId from, @Nullable TurnKey after, int copied) {
		return this.transport
			.request(from, new TurnListRequest(0, after, listedMembers()), TurnList.class, ANSWER_TIMEOUT_MS)
			.thenCompose((list) -> {
				List<TurnKey> lacking = list.keys().stream().filter((key) -> !this.storage.has(key)).toList();
				return copyTurns(from, lacking, copied).thenCompose((total) -> {
					boolean isLast = !list.hasMore() || list.keys().isEmpty();
					return isLast ? CompletableFuture.completedFuture(total)
							: copyPages(from, list.keys().get(list.keys().size() - 1), total);
				});
			});
	}

	private CompletableFuture<Integer> copyTurns(InstanceId from, List<TurnKey> lacking, int copied) {
		if (lacking.isEmpty() || this.isStopped) {
			return CompletableFuture.completedFuture(copied);
		}
		List<TurnKey> batch = lacking.subList(0, Math.min(lacking.size(), MAX_REQUESTED_TURNS));
		return this.transport.request(from, new TurnCopyRequest(batch), TurnCopies.class, ANSWER_TIMEOUT_MS)
			.thenCompose((answer) -> storeAll(answer.turns()).thenCompose((stored) -> {
				List<TurnKey> rest = new ArrayList<>(lacking);
				Set<TurnKey> received = new HashSet<>();
				answer.turns().forEach((turn) -> received.add(turn.key()));
				// Without any turn in the answer, all of the batch have expired there.
				rest.removeAll(received.isEmpty() ? Set.copyOf(batch) : received);
				return copyTurns(from, rest, copied + received.size());
			}));
	}

	private CompletableFuture<Void> storeAll(List<StoredTurn> turns) {
		return CompletableFuture.allOf(turns.stream().map(this.storage::store).toArray(CompletableFuture[]::new));
	}

	private List<LedgerMember> listedMembers() {
		List<LedgerMember> listed = new ArrayList<>(this.members.all());
		listed.add(this.self);
		return listed;
	}

	/**
	 * Copies the previous turns of a stored turn if this member is chosen to store them
	 * and lacks them. Otherwise this member would not extend the time for which it keeps
	 * the turns before the missing one.
	 * @param turn the stored turn
	 */
	void copyMissingPrevious(StoredTurn turn) {
		if (turn.previousId() == null || this.missing.size() >= MAX_MISSING) {
			return;
		}
		TurnKey previous = new TurnKey(turn.key().workspace(), turn.previousId());
		if (!this.storage.has(previous) && TurnReplica.isChosen(this.self.id(), turn.group(), listedMembers())) {
			this.missing.add(previous);
			if (!this.isLookingForMissing) {
				this.isLookingForMissing = true;
				this.timer.schedule(MISSING_DELAY_MS, this::copyNextMissing);
			}
		}
	}

	private void copyNextMissing() {
		Iterator<TurnKey> iterator = this.missing.iterator();
		if (!iterator.hasNext() || this.isStopped) {
			this.isLookingForMissing = false;
			return;
		}
		TurnKey key = iterator.next();
		iterator.remove();
		List<InstanceId> sources = this.members.all()
			.stream()
			.map(LedgerMember::id)
			.filter(this.members::isReachable)
			.sorted()
			.toList();
		copyChain(key, sources).whenComplete((done, error) -> this.timer.schedule(0, this::copyNextMissing));
	}

	private CompletableFuture<Void> copyChain(TurnKey key, List<InstanceId> sources) {
		if (sources.isEmpty() || this.storage.has(key)) {
			return CompletableFuture.completedFuture(null);
		}
		List<InstanceId> others = sources.subList(1, sources.size());
		return this.transport
			.request(sources.get(0), new TurnQuery(key, LedgerMembers.fingerprintOf(listedMembers())), TurnChain.class,
					ANSWER_TIMEOUT_MS)
			.thenCompose((answer) -> storeAll(answer.turns()).thenApply((stored) -> answer))
			.handle((answer, error) -> {
				if (error != null || answer.turns().isEmpty()) {
					return copyChain(key, others);
				}
				String missingId = answer.missingId();
				return (missingId != null) ? copyChain(new TurnKey(key.workspace(), missingId), sources)
						: CompletableFuture.<Void>completedFuture(null);
			})
			.thenCompose((next) -> next);
	}

}
