package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.distribution.FanOut;
import dev.nutmegdoor.core.distribution.LocalPersistence;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.PauseDetector;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Propagates withdrawals of keys without depending on the store. An accepted withdrawal
 * is applied, flooded to a few peers that forward it, and pushed to the instances of each
 * zone, which confirm it. If the flood misses an instance, digests in heartbeats, passed
 * to {@link #onPeerDigest(InstanceId, String)}, trigger a synchronization. Methods must
 * be called on the control thread unless they say otherwise.
 */
public final class WithdrawalController {

	/** Maximum time until a withdrawal is applied on every reachable instance. */
	static final long MAX_PROPAGATION_MS = 3_000;

	/**
	 * Maximum number of withdrawals in one message; 10,000 with ASCII texts take at most
	 * 3 MB of the 4 MB of a frame.
	 */
	private static final int MAX_WITHDRAWALS_PER_MESSAGE = 10_000;

	private static final long ISOLATION_CHECK_PERIOD_MS = 500;

	/** Maximum number of peers that a starting instance queries. */
	private static final int MAX_BOOTSTRAP_PEERS = 4;

	private final KeySettings settings;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final InvariantRegistry invariants;

	private final StepListener steps;

	private final EventLog events;

	private final WithdrawalSet withdrawals = new WithdrawalSet();

	private final WithdrawalStore store;

	private final WithdrawalPropagator propagator;

	private final WithdrawalArchive archive;

	private final List<Consumer<KeyWithdrawal>> listeners = new ArrayList<>();

	private final Set<InstanceId> syncingPeers = new HashSet<>();

	private volatile boolean isIsolated;

	private final PauseDetector pauseDetector;

	private long lastContactMs;

	/**
	 * Creates a controller; it does nothing until {@link #start()}.
	 * @param settings timeouts, isolation time and durability of withdrawals
	 * @param timer clock and control thread
	 * @param transport sends and receives messages between instances
	 * @param store object store of the platform
	 * @param membership members to which withdrawals are sent
	 * @param persistence data folder, which holds a copy of the withdrawals
	 * @param random generates jitter
	 * @param invariants counts checks of {@link Invariant#KEY_WITHDRAWAL}
	 * @param steps called at each step of the protocol, for fault injection
	 * @param events receives the events {@code key.*}
	 */
	public WithdrawalController(KeySettings settings, TimerService timer, PeerTransport transport, ObjectStore store,
			MembershipView membership, LocalPersistence persistence, UniformRandomProvider random,
			InvariantRegistry invariants, StepListener steps, EventLog events) {
		this.settings = settings;
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.invariants = invariants;
		this.steps = steps;
		this.events = events;
		this.archive = new WithdrawalArchive(persistence);
		this.propagator = new WithdrawalPropagator(transport, membership, settings.pushTimeoutMs());
		this.store = new WithdrawalStore(store, timer, membership, random, settings.storeWatchersPerZone(),
				this.withdrawals, this::apply, this::onContact);
		this.lastContactMs = timer.nowMs();
		this.pauseDetector = new PauseDetector(timer);
	}

	/**
	 * Starts to serve requests of peers and loads withdrawals from the data folder, peers
	 * and the store.
	 * @return a future that completes when each of these reads has succeeded or failed;
	 * until then the instance must not report ready
	 */
	public CompletableFuture<Void> start() {
		this.transport.subscribe(WithdrawalPush.class, (from, message) -> {
			onContact();
			apply(message.withdrawals());
			return CompletableFuture.completedFuture(new WithdrawalReceipt(digest()));
		});
		this.transport.subscribe(WithdrawalZoneRequest.class, (from, message) -> {
			onContact();
			apply(message.withdrawals());
			return this.propagator.confirmOwnZone(message.withdrawals());
		});
		this.transport.subscribe(WithdrawalSync.class, (from, message) -> {
			onContact();
			return CompletableFuture.completedFuture(new WithdrawalSyncAnswer(
					this.withdrawals.inDifferingBuckets(message.bucketDigests(), MAX_WITHDRAWALS_PER_MESSAGE),
					this.withdrawals.bucketDigests()));
		});
		this.timer.subscribe(ISOLATION_CHECK_PERIOD_MS, this::checkIsolation);
		this.store.start();
		List<CompletableFuture<?>> reads = new ArrayList<>();
		reads.add(this.archive.load().thenAccept(this::apply));
		reads.add(this.store.readAll());
		FanOut.targets(this.membership).stream().limit(MAX_BOOTSTRAP_PEERS).forEach((peer) -> reads.add(sync(peer)));
		CompletableFuture<Void> result = new CompletableFuture<>();
		CompletableFuture.allOf(reads.toArray(new CompletableFuture<?>[0]))
			.whenComplete((ignored, error) -> result.complete(null));
		return result;
	}

	/**
	 * Withdraws a key and pushes the withdrawal to all members.
	 * @param key identifier of the key
	 * @param author operator that withdraws the key
	 * @param reason free text of the operator
	 * @param isKnown whether the configuration contains the key
	 * @return which instances have applied the withdrawal; completes within about 3 s
	 */
	CompletableFuture<WithdrawalResult> withdraw(KeyId key, String author, String reason, boolean isKnown) {
		this.steps.reached(Step.KEY_WITHDRAW);
		KeyWithdrawal existing = this.withdrawals.get(key);
		KeyWithdrawal withdrawal = (existing != null) ? existing
				: new KeyWithdrawal(key, author, reason, this.timer.wallClockMs());
		long startMs = this.timer.nowMs();
		apply(List.of(withdrawal));
		CompletableFuture<Void> storeWrite = this.store.write(List.of(withdrawal));
		return this.propagator.confirm(List.of(withdrawal)).thenApply((answers) -> {
			long durationMs = this.timer.nowMs() - startMs;
			// A paused instance counts as unreachable, so the limit does not apply.
			boolean wasPaused = this.pauseDetector.hasPausedSince(startMs);
			this.invariants.check(Invariant.KEY_WITHDRAWAL, wasPaused || durationMs <= MAX_PROPAGATION_MS,
					() -> "key " + key + " was confirmed after " + durationMs + " ms");
			boolean isStored = storeWrite.isDone() && !storeWrite.isCompletedExceptionally();
			WithdrawalResult result = createResult(key, isKnown, isStored, answers);
			this.events.record("key.withdrawn", "key", key, "author", author, "durable", result.isDurable(),
					"confirmedInstances", result.confirmedInstances(), "unreachableZones", result.unreachableZones(),
					"durationMs", durationMs);
			return result;
		});
	}

	/**
	 * Processes the digest of a peer, received in a heartbeat, and exchanges missing
	 * withdrawals if it differs from the digest of this instance.
	 * @param peer the peer
	 * @param digest digest as returned by {@link #digest()} on the peer
	 */
	public void onPeerDigest(InstanceId peer, String digest) {
		onContact();
		if (!digest.equals(digest())) {
			sync(peer);
		}
	}

	/**
	 * Records contact with the platform or a peer. Without contact for
	 * {@link KeySettings#isolatedKeyAcceptMs()} the instance considers itself isolated.
	 */
	public void onContact() {
		this.lastContactMs = this.timer.nowMs();
		this.isIsolated = false;
	}

	/**
	 * Returns the digest of the withdrawals of this instance, as sent in heartbeats.
	 * @return a digest that is equal for equal sets of withdrawals
	 */
	public String digest() {
		return this.withdrawals.digest();
	}

	/**
	 * Returns whether a key is withdrawn; may be called from any thread.
	 * @param key identifier of the key
	 * @return whether this instance has received a withdrawal of the key
	 */
	public boolean isWithdrawn(KeyId key) {
		return this.withdrawals.contains(key);
	}

	/**
	 * Returns whether the state of keys is unknown because the instance is isolated; may
	 * be called from any thread.
	 * @return whether all keys must be rejected
	 */
	public boolean isIsolated() {
		return this.isIsolated;
	}

	/**
	 * Registers a listener for withdrawals.
	 * @param listener called on the control thread for each new withdrawal
	 */
	public void subscribe(Consumer<KeyWithdrawal> listener) {
		this.listeners.add(listener);
	}

	@Nullable KeyWithdrawal find(KeyId key) {
		return this.withdrawals.get(key);
	}

	Collection<KeyWithdrawal> all() {
		return this.withdrawals.all();
	}

	KeyDump dump(int openStreams) {
		return new KeyDump(this.withdrawals.all().size(), digest(), this.store.unstoredCount(), this.store.isWatching(),
				this.isIsolated, openStreams);
	}

	private void checkIsolation() {
		boolean isIsolatedNow = this.timer.nowMs() - this.lastContactMs > this.settings.isolatedKeyAcceptMs();
		if (isIsolatedNow && !this.isIsolated) {
			this.events.record("key.isolated", "silentMs", this.timer.nowMs() - this.lastContactMs);
		}
		this.isIsolated = isIsolatedNow;
	}

	private void apply(List<KeyWithdrawal> received) {
		if (received.stream().allMatch((withdrawal) -> this.withdrawals.contains(withdrawal.key()))) {
			return;
		}
		this.steps.reached(Step.KEY_WITHDRAW_APPLY);
		List<KeyWithdrawal> newWithdrawals = this.withdrawals.addAll(received);
		newWithdrawals.forEach((withdrawal) -> this.listeners.forEach((listener) -> listener.accept(withdrawal)));
		this.archive.save(this.withdrawals.all());
		for (int i = 0; i < newWithdrawals.size(); i += MAX_WITHDRAWALS_PER_MESSAGE) {
			WithdrawalPush push = new WithdrawalPush(
					newWithdrawals.subList(i, Math.min(newWithdrawals.size(), i + MAX_WITHDRAWALS_PER_MESSAGE)));
			FanOut.targets(this.membership).forEach((peer) -> this.transport.send(peer, push));
		}
	}

	private CompletableFuture<Void> sync(InstanceId peer) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		if (!this.syncingPeers.add(peer)) {
			done.complete(null);
			return done;
		}
		this.transport
			.request(peer, new WithdrawalSync(this.withdrawals.bucketDigests()), WithdrawalSyncAnswer.class,
					this.settings.pushTimeoutMs())
			.whenComplete((answer, error) -> {
				this.syncingPeers.remove(peer);
				if (answer != null) {
					onContact();
					mergeAnswer(peer, answer);
				}
				done.complete(null);
			});
		return done;
	}

	private void mergeAnswer(InstanceId peer, WithdrawalSyncAnswer answer) {
		Set<KeyId> received = new HashSet<>();
		answer.withdrawals().forEach((withdrawal) -> received.add(withdrawal.key()));
		List<KeyWithdrawal> missingAtPeer = new ArrayList<>(
				this.withdrawals.inDifferingBuckets(answer.bucketDigests(), MAX_WITHDRAWALS_PER_MESSAGE));
		missingAtPeer.removeIf((withdrawal) -> received.contains(withdrawal.key()));
		apply(answer.withdrawals());
		if (!missingAtPeer.isEmpty()) {
			this.transport.send(peer, new WithdrawalPush(missingAtPeer));
		}
	}

	private WithdrawalResult createResult(KeyId key, boolean isKnown, boolean isStored,
			Map<AvailabilityZone, @Nullable WithdrawalZoneAnswer> answers) {
		List<AvailabilityZone> confirmedZones = new ArrayList<>();
		List<AvailabilityZone> unreachableZones = new ArrayList<>();
		Map<AvailabilityZone, List<InstanceId>> incompleteZones = new TreeMap<>();
		int confirmedInstances = 0;
		for (Map.Entry<AvailabilityZone, @Nullable WithdrawalZoneAnswer> entry : answers.entrySet()) {
			WithdrawalZoneAnswer answer = entry.getValue();
			if (answer == null) {
				unreachableZones.add(entry.getKey());
			}
			else {
				confirmedInstances += answer.confirmed().size();
				if (answer.missing().isEmpty()) {
					confirmedZones.add(entry.getKey());
				}
				else {
					incompleteZones.put(entry.getKey(), answer.missing());
				}
			}
		}
		boolean isDurable = isStored || confirmedInstances > this.settings.requiredCopies();
		return new WithdrawalResult(key, isKnown, isDurable, isStored, confirmedInstances, confirmedZones,
				incompleteZones, unreachableZones);
	}

}
