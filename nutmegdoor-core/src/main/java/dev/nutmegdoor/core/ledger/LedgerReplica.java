package dev.nutmegdoor.core.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.InstanceRegistry;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * A replica of the ledger. It accepts reservations only while it has all entries that it
 * has ever acknowledged: a replica with an empty disk first copies the entries of the
 * other replicas. Runs on the control thread.
 */
public final class LedgerReplica {

	private static final long EXPIRY_PERIOD_MS = 5_000;

	private static final long REGISTRATION_RETRY_MS = 400;

	/**
	 * Maximum wait in milliseconds for the entries of other replicas while none is
	 * reachable. A replica that has not replied by then is down or partitioned, and
	 * entries that only that replica has are not counted here.
	 */
	private static final long SYNC_TIMEOUT_MS = 1_500;

	/**
	 * Maximum wait in milliseconds if other replicas reply but do not have all entries
	 * either.
	 */
	private static final long INCOMPLETE_SYNC_TIMEOUT_MS = 6_000;

	/**
	 * Delay in milliseconds after the start until a new replica looks for a lost replica
	 * that it replaces.
	 */
	private static final long REPLACEMENT_CHECK_DELAY_MS = 2_000;

	/**
	 * Time in milliseconds for which a replica must have been unreachable to be replaced
	 * by a new one.
	 */
	private static final long REPLACEABLE_AFTER_MS = 1_000;

	private final LedgerMember self;

	private final PeerTransport transport;

	private final InstanceRegistry registry;

	private final LedgerLog log;

	private final TimerService timer;

	private final EventLog events;

	private final LedgerSettings settings;

	private final LedgerMembers members;

	private final ReplicatedState turns;

	private final LedgerTable table = new LedgerTable();

	private long notifiedFingerprint;

	private boolean isServing;

	private boolean isRegistered;

	private boolean isLeaving;

	private boolean isCompacting;

	private long syncStartedAtMs;

	/**
	 * Creates a replica and subscribes to its messages. It accepts no reservations before
	 * {@link #start}.
	 * @param self identifier and address under which other instances reach this replica
	 * @param transport sends messages to other replicas and receives those of all
	 * instances
	 * @param registry list of replicas in the platform's store
	 * @param log durable log of this replica
	 * @param timer clock and scheduler
	 * @param events log of changes to the state and the member list
	 * @param settings timeouts and periods
	 * @param members receives the other replicas
	 * @param turns turns of conversations, which are copied and transferred with the
	 * entries, or {@link ReplicatedState#NONE}
	 */
	public LedgerReplica(LedgerMember self, PeerTransport transport, InstanceRegistry registry, LedgerLog log,
			TimerService timer, EventLog events, LedgerSettings settings, LedgerMembers members,
			ReplicatedState turns) {
		this.self = self;
		this.transport = transport;
		this.registry = registry;
		this.log = log;
		this.timer = timer;
		this.events = events;
		this.settings = settings;
		this.members = members;
		this.turns = turns;
		this.notifiedFingerprint = members.fingerprint();
		transport.subscribe(LedgerReserve.class, (from, message) -> reserve(message));
		transport.subscribe(LedgerUpdate.class, (from, message) -> update(message));
		transport.subscribe(LedgerSync.class, (from, message) -> sync(message));
	}

	/**
	 * Starts the replica and registers it.
	 * @param recovered entries read from the log
	 * @param isComplete whether the log contains all entries that this replica has
	 * acknowledged; {@code false} for an empty disk, unless the entire system starts for
	 * the first time
	 */
	public void start(List<LedgerEntry> recovered, boolean isComplete) {
		recovered.forEach((entry) -> this.table.merge(entry, this.timer.nowMs()));
		this.isServing = isComplete;
		this.syncStartedAtMs = this.timer.nowMs();
		this.events.record("ledger.started", "replica", this.self.id(), "entries", recovered.size(), "complete",
				isComplete);
		join();
		this.timer.subscribe(this.settings.probePeriodMs(), this::probeMembers);
		this.timer.subscribe(EXPIRY_PERIOD_MS, this::expire);
		if (!isComplete) {
			this.timer.schedule(REPLACEMENT_CHECK_DELAY_MS, this::replaceLostReplica);
		}
	}

	// A replica with an empty disk usually replaces one that is permanently lost. If the
	// lost replica stayed in the member list, its share of all budgets could not be used.
	private void replaceLostReplica() {
		long nowMs = this.timer.nowMs();
		this.members.all()
			.stream()
			.filter((member) -> this.members.unreachableDurationMs(member.id(), nowMs) >= REPLACEABLE_AFTER_MS)
			.max(Comparator.comparingLong((member) -> this.members.unreachableDurationMs(member.id(), nowMs)))
			.ifPresent(this::evict);
	}

	public boolean isServing() {
		return this.isServing;
	}

	/**
	 * Returns the number of replicas in the member list, including this one.
	 * @return number of replicas, at least 1
	 */
	public int memberCount() {
		return 1 + this.members.size();
	}

	public int programCount() {
		return this.table.programCount();
	}

	/**
	 * Transfers all entries and turns to the other replicas and removes this replica from
	 * the ledger.
	 * @return completes when all reachable replicas have stored the entries, the replicas
	 * that are now chosen have stored the turns, and this replica is unregistered; fails
	 * if no other replica has stored them
	 */
	public CompletableFuture<Void> leave() {
		this.isLeaving = true;
		List<LedgerEntry> entries = this.table.all();
		List<InstanceId> receivers = this.members.all().stream().map(LedgerMember::id).toList();
		this.events.record("ledger.leaving", "replica", this.self.id(), "entries", entries.size(), "receivers",
				receivers);
		List<CompletableFuture<Boolean>> stored = receivers.stream().map((id) -> transferEntries(id, entries)).toList();
		return CompletableFuture.allOf(stored.toArray(CompletableFuture[]::new)).thenCompose((ignored) -> {
			if (stored.stream().noneMatch((result) -> result.getNow(false))) {
				return CompletableFuture.failedFuture(
						new PeerException(PeerFailure.TIMEOUT, "no other replica of the ledger stored the entries"));
			}
			return this.turns.handOver();
		}).thenCompose((ignored) -> {
			this.isServing = false;
			return this.registry.unregister(this.self.toEntry());
		});
	}

	private CompletableFuture<Boolean> transferEntries(InstanceId receiver, List<LedgerEntry> entries) {
		CompletableFuture<Boolean> result = CompletableFuture.completedFuture(true);
		int batchSize = this.settings.maxSyncEntries();
		for (int offset = 0; offset == 0 || offset < entries.size(); offset += batchSize) {
			List<LedgerEntry> batch = entries.subList(offset, Math.min(entries.size(), offset + batchSize));
			result = result.thenCompose((isStored) -> isStored ? sendEntries(receiver, batch) : completed(false));
		}
		return result;
	}

	private static CompletableFuture<Boolean> completed(boolean value) {
		return CompletableFuture.completedFuture(value);
	}

	private CompletableFuture<Boolean> sendEntries(InstanceId receiver, List<LedgerEntry> entries) {
		return this.transport
			.request(receiver, new LedgerSync(this.self, true, false, entries), LedgerSyncAnswer.class,
					this.settings.answerTimeoutMs() * 4)
			.handle((answer, error) -> error == null);
	}

	private CompletableFuture<? extends PeerMessage> reserve(LedgerReserve message) {
		if (!this.isServing) {
			return notServing();
		}
		this.table.merge(message.entry(), this.timer.nowMs());
		return this.log.append(List.of(message.entry()))
			.thenApply((stored) -> new LedgerAnswer(this.table.entries(message.entry().program()),
					membersUnlessKnown(message.membersFingerprint())));
	}

	// The list is longer than everything else in an answer, and hardly ever changes.
	private List<LedgerMember> membersUnlessKnown(long knownFingerprint) {
		List<LedgerMember> listed = listedMembers();
		return (LedgerMembers.fingerprintOf(listed) == knownFingerprint) ? List.of() : listed;
	}

	private static <T> CompletableFuture<T> notServing() {
		return CompletableFuture
			.failedFuture(new PeerException(PeerFailure.REMOTE_ERROR, "the replica does not have all entries yet"));
	}

	private @Nullable CompletableFuture<? extends PeerMessage> update(LedgerUpdate message) {
		store(message.entries());
		return null;
	}

	private CompletableFuture<Void> store(List<LedgerEntry> entries) {
		long nowMs = this.timer.nowMs();
		List<LedgerEntry> changedEntries = new ArrayList<>();
		for (LedgerEntry entry : entries) {
			if (this.table.merge(entry, nowMs)) {
				changedEntries.add(entry);
			}
		}
		return changedEntries.isEmpty() ? CompletableFuture.completedFuture(null) : this.log.append(changedEntries);
	}

	private CompletableFuture<? extends PeerMessage> sync(LedgerSync message) {
		if (message.isLeaving()) {
			this.members.remove(message.subject().id());
		}
		else if (this.members.add(message.subject())) {
			this.events.record("ledger.joined", "replica", message.subject().id());
		}
		else {
			recordOutcome(message.subject(), null);
		}
		notifyIfMembersChanged();
		return store(message.entries()).thenApply((stored) -> new LedgerSyncAnswer(this.isServing,
				message.isStateWanted() ? this.table.all() : List.of(), listedMembers(), this.turns.itemCount()));
	}

	private List<LedgerMember> listedMembers() {
		Stream<LedgerMember> own = this.isLeaving ? Stream.empty() : Stream.of(this.self);
		return Stream.concat(own, this.members.all().stream()).toList();
	}

	private void join() {
		if (this.isLeaving) {
			return;
		}
		this.registry.register(this.self.toEntry())
			.thenCompose((registered) -> this.registry.list())
			.whenComplete((entries, error) -> {
				if (error != null) {
					this.timer.schedule(REGISTRATION_RETRY_MS, this::join);
					return;
				}
				this.isRegistered = true;
				entries.stream()
					.filter((entry) -> !entry.id().equals(this.self.id()))
					.forEach((entry) -> this.members.add(LedgerMember.of(entry)));
				notifyIfMembersChanged();
				this.turns.joined();
				this.syncStartedAtMs = this.timer.nowMs();
				this.members.all().forEach((member) -> probe(member, true));
				startServingIfAlone();
			});
	}

	private void probeMembers() {
		if (this.isLeaving) {
			return;
		}
		for (LedgerMember member : List.copyOf(this.members.all())) {
			if (this.members.unreachableDurationMs(member.id(), this.timer.nowMs()) > this.settings.evictMs()) {
				evict(member);
			}
			else {
				probe(member, !this.isServing || !this.members.isReachable(member.id()));
			}
		}
		long waitedMs = this.timer.nowMs() - this.syncStartedAtMs;
		if (!this.isServing && this.isRegistered && waitedMs > SYNC_TIMEOUT_MS) {
			// Waiting longer would only leave the share of this replica in the budgets
			// unused.
			boolean hasReachable = this.members.all()
				.stream()
				.anyMatch((member) -> this.members.isReachable(member.id()));
			if (!hasReachable || waitedMs > INCOMPLETE_SYNC_TIMEOUT_MS) {
				startServing("no complete replica answers");
			}
		}
	}

	private void probe(LedgerMember member, boolean isStateWanted) {
		this.transport
			.request(member.id(), new LedgerSync(this.self, false, isStateWanted, List.of()), LedgerSyncAnswer.class,
					this.settings.answerTimeoutMs())
			.whenComplete((answer, error) -> {
				recordOutcome(member, error);
				if (error == null) {
					applySyncAnswer(member, isStateWanted, answer);
				}
			});
	}

	private void recordOutcome(LedgerMember member, @Nullable Throwable error) {
		boolean wasReachable = this.members.isReachable(member.id());
		this.members.recordOutcome(member.id(), error, this.timer.nowMs(), this.events);
		if (!wasReachable && error == null) {
			this.turns.memberRegained(member.id());
		}
	}

	private void notifyIfMembersChanged() {
		if (this.members.fingerprint() != this.notifiedFingerprint) {
			this.notifiedFingerprint = this.members.fingerprint();
			this.turns.membersChanged();
		}
	}

	private void applySyncAnswer(LedgerMember member, boolean isStateWanted, LedgerSyncAnswer answer) {
		answer.members().stream().filter((listed) -> !listed.id().equals(this.self.id())).forEach(this.members::add);
		notifyIfMembersChanged();
		if (!this.isLeaving) {
			this.turns.memberAnswered(member, answer.turns());
		}
		if (!isStateWanted) {
			return;
		}
		store(answer.entries()).whenComplete((stored, error) -> {
			// The entries of one complete replica are sufficient, because each
			// reservation is sent to all replicas.
			if (error == null && answer.isComplete() && !this.isServing && !this.isLeaving) {
				startServing("entries taken over from " + member.id());
			}
		});
	}

	private void startServingIfAlone() {
		if (!this.isServing && this.members.size() == 0) {
			startServing("no other replica is listed");
		}
	}

	private void startServing(String reason) {
		this.isServing = true;
		this.events.record("ledger.serving", "replica", this.self.id(), "reason", reason, "programs",
				this.table.programCount());
	}

	private void evict(LedgerMember member) {
		this.members.remove(member.id());
		notifyIfMembersChanged();
		this.events.record("ledger.evicted", "replica", member.id());
		LedgerSync notice = new LedgerSync(member, true, false, List.of());
		this.members.all().forEach((other) -> this.transport.send(other.id(), notice));
		this.registry.unregister(member.toEntry()).whenComplete((done, error) -> {
			if (error != null) {
				this.events.record("ledger.evict-failed", "replica", member.id(), "error",
						String.valueOf(error.getMessage()));
			}
		});
	}

	private void expire() {
		this.table.expire(this.timer.nowMs());
		if (this.log.sizeBytes() > this.settings.compactBytes() && !this.isCompacting) {
			this.isCompacting = true;
			this.log.compact(this.table.all()).whenComplete((done, error) -> this.isCompacting = false);
		}
	}

}
