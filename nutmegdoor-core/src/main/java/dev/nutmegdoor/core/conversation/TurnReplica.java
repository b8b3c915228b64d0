package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.ReplicatedState;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * The turns of conversations that one member of the ledger keeps. It stores and returns
 * turns, copies those that it lacks from other members, and transfers its turns before it
 * leaves. Runs on the control thread.
 */
public final class TurnReplica implements ReplicatedState {

	/** Maximum number of identifiers in an answer; 10,000 occupy less than 1 MiB. */
	static final int MAX_LISTED_TURNS = 10_000;

	private final LedgerMember self;

	private final LedgerMembers members;

	private final TimerService timer;

	private final EventLog events;

	private final TurnStorage storage;

	private final TurnCopier copier;

	private final TurnHandOver handOver;

	private boolean isLeaving;

	/**
	 * Creates a replica and subscribes to its messages.
	 * @param self identifier and address of this member
	 * @param transport sends messages to other members and receives those of all
	 * instances
	 * @param members the other members
	 * @param log durable log of this member
	 * @param timer clock and scheduler
	 * @param events log of copies, losses and refused turns
	 * @param invariants checks that no chain loses its beginning
	 */
	public TurnReplica(LedgerMember self, PeerTransport transport, LedgerMembers members, TurnLog log,
			TimerService timer, EventLog events, InvariantRegistry invariants) {
		this.self = self;
		this.members = members;
		this.timer = timer;
		this.events = events;
		this.storage = new TurnStorage(log, timer, events, invariants);
		this.copier = new TurnCopier(self, transport, members, this.storage, timer, events);
		this.handOver = new TurnHandOver(transport, members, this.storage);
		this.storage.setLossListener(this.copier::turnsLost);
		transport.subscribe(TurnStore.class, (from, message) -> store(message.turn()));
		transport.subscribe(TurnQuery.class, (from, message) -> query(message));
		transport.subscribe(TurnListRequest.class, this::list);
		transport.subscribe(TurnCopyRequest.class, (from, message) -> copy(message));
	}

	/**
	 * Starts the replica.
	 * @param recovered turns read from the log
	 * @param isComplete whether the log contains all turns that this member has confirmed
	 */
	public void start(List<TurnSummary> recovered, boolean isComplete) {
		this.storage.recover(recovered);
		this.copier.start(isComplete);
		if (turnCount() > 0 || !isComplete) {
			this.events.record("turns.started", "replica", this.self.id(), "turns", turnCount(), "complete",
					isComplete);
		}
	}

	/**
	 * Returns whether this member has all turns that it has ever confirmed.
	 * @return {@code false} after the loss of a disk until the turns of all other members
	 * have been copied
	 */
	public boolean isComplete() {
		return this.copier.isComplete();
	}

	public int turnCount() {
		return this.storage.index().size();
	}

	public long contentBytes() {
		return this.storage.index().contentBytes();
	}

	public long refusedAppends() {
		return this.storage.refusedAppends();
	}

	private CompletableFuture<? extends PeerMessage> store(StoredTurn turn) {
		if (this.isLeaving && !this.storage.has(turn.key())) {
			return CompletableFuture.failedFuture(new PeerException(PeerFailure.REMOTE_ERROR, "the member is leaving"));
		}
		return this.storage.store(turn).thenApply((stored) -> {
			this.copier.copyMissingPrevious(turn);
			return new TurnStored(turn.key());
		});
	}

	private CompletableFuture<? extends PeerMessage> query(TurnQuery message) {
		boolean isComplete = isComplete();
		List<LedgerMember> listed = membersUnlessKnown(message.membersFingerprint());
		List<TurnIndex.Entry> chain = chain(message.key());
		if (chain.isEmpty()) {
			return CompletableFuture.completedFuture(new TurnChain(isComplete, List.of(), null, listed));
		}
		// The response that the reader continues the chain with is not stored yet.
		this.storage.index().extend(message.key(), this.timer.nowMs() + TurnStorage.MARGIN_MS);
		return this.storage.read(chain).thenApply((turns) -> {
			List<StoredTurn> whole = wholePrefix(chain, turns);
			String missingId = whole.isEmpty() ? null : whole.get(whole.size() - 1).previousId();
			// A damaged turn makes the member incomplete while the turn is read.
			return new TurnChain(isComplete(), whole, missingId, listed);
		});
	}

	private List<TurnIndex.Entry> chain(TurnKey newest) {
		List<TurnIndex.Entry> chain = new ArrayList<>();
		Set<TurnKey> visited = new HashSet<>();
		TurnKey key = newest;
		while (key != null && visited.add(key)) {
			TurnIndex.Entry entry = this.storage.index().find(key);
			if (entry == null) {
				break;
			}
			chain.add(entry);
			key = entry.previous();
		}
		return chain;
	}

	private static List<StoredTurn> wholePrefix(List<TurnIndex.Entry> chain, List<StoredTurn> turns) {
		int length = 0;
		while (length < turns.size() && turns.get(length).key().equals(chain.get(length).key())) {
			length++;
		}
		return turns.subList(0, length);
	}

	private List<LedgerMember> membersUnlessKnown(long knownFingerprint) {
		Stream<LedgerMember> own = this.isLeaving ? Stream.empty() : Stream.of(this.self);
		List<LedgerMember> listed = Stream.concat(own, this.members.all().stream()).toList();
		return (LedgerMembers.fingerprintOf(listed) == knownFingerprint) ? List.of() : listed;
	}

	private CompletableFuture<? extends PeerMessage> list(InstanceId from, TurnListRequest message) {
		Collection<LedgerMember> requesterMembers = message.members();
		Map<String, Boolean> wantedGroups = new HashMap<>();
		List<TurnKey> keys = this.storage.index()
			.sortedAfter(message.after())
			.stream()
			.filter((entry) -> requesterMembers == null
					|| wantedGroups.computeIfAbsent(entry.group(), (group) -> isChosen(from, group, requesterMembers)))
			.map(TurnIndex.Entry::key)
			.skip(message.offset())
			.limit(MAX_LISTED_TURNS + 1L)
			.toList();
		boolean hasMore = keys.size() > MAX_LISTED_TURNS;
		return CompletableFuture
			.completedFuture(new TurnList(hasMore ? keys.subList(0, MAX_LISTED_TURNS) : keys, hasMore));
	}

	static boolean isChosen(InstanceId id, String group, Collection<LedgerMember> members) {
		return TurnOwners.chosen(group, members).stream().anyMatch((member) -> member.id().equals(id));
	}

	private CompletableFuture<? extends PeerMessage> copy(TurnCopyRequest message) {
		List<TurnIndex.Entry> entries = new ArrayList<>();
		for (TurnKey key : message.keys()) {
			TurnIndex.Entry entry = this.storage.index().find(key);
			if (entry != null) {
				entries.add(entry);
			}
		}
		return this.storage.read(entries).thenApply(TurnCopies::new);
	}

	@Override
	public @Nullable Long itemCount() {
		return (turnCount() > 0) ? Long.valueOf(turnCount()) : null;
	}

	@Override
	public void joined() {
		this.copier.joined();
	}

	@Override
	public void membersChanged() {
		this.copier.membersChanged();
	}

	@Override
	public void memberRegained(InstanceId id) {
		this.copier.memberRegained(id);
	}

	@Override
	public void memberAnswered(LedgerMember member, @Nullable Long itemCount) {
		this.copier.memberAnswered(member.id(), itemCount);
	}

	@Override
	public CompletableFuture<Void> handOver() {
		this.isLeaving = true;
		this.copier.stop();
		int turns = turnCount();
		return this.handOver.run().thenRun(() -> {
			if (turns > 0) {
				this.events.record("turns.handed-over", "replica", this.self.id(), "turns", turns);
			}
		});
	}

}
