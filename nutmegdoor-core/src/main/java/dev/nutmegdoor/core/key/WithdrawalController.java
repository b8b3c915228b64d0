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
 * Spreads withdrawals of keys without needing the store: an accepted withdrawal is
 * applied, flooded to a few peers which flood it on, and brought to every zone with
 * receipts. Digests in heartbeats, through {@link #onPeerDigest(InstanceId, String)},
 * repair what the flood misses.
 */
public final class WithdrawalController {

	/** Time in which a withdrawal is in force on every reachable instance. */
	static final long IN_FORCE_MS = 3_000;

	/**
	 * Withdrawals in one message; 10,000 take at most 3 MB of the 4 MB of a frame if
	 * texts are ASCII.
	 */
	private static final int MAX_IN_MESSAGE = 10_000;

	private static final long ISOLATION_CHECK_MS = 500;

	/** Peers that a starting instance asks. */
	private static final int START_PEERS = 4;

	private final KeySettings settings;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final InvariantRegistry invariants;

	private final StepListener steps;

	private final EventLog events;

	private final WithdrawalSet withdrawals = new WithdrawalSet();

	private final WithdrawalStore store;

	private final WithdrawalZones zones;

	private final WithdrawalArchive archive;

	private final List<Consumer<KeyWithdrawal>> listeners = new ArrayList<>();

	private final Set<InstanceId> syncing = new HashSet<>();

	private volatile boolean isolated;

	private final PauseDetector pauses;

	private long contactMs;

	/**
	 * Creates a controller; it does nothing until {@link #start()}.
	 * @param settings settings
	 * @param timer time
	 * @param transport messages between instances
	 * @param store the platform's store
	 * @param membership the members
	 * @param persistence data folder
	 * @param random source of jitter
	 * @param invariants counts checks
	 * @param steps called at the steps of the protocol
	 * @param events receives {@code key.*}
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
		this.zones = new WithdrawalZones(transport, membership, settings.pushTimeoutMs());
		this.store = new WithdrawalStore(store, timer, membership, random, settings.storeWatchersPerZone(),
				this.withdrawals, this::apply, this::onContact);
		this.contactMs = timer.nowMs();
		this.pauses = new PauseDetector(timer);
	}

	/**
	 * Starts to serve peers and learns the known withdrawals from the data folder, peers
	 * and the store.
	 * @return completes when each source has answered or failed; until then the instance
	 * must not report ready
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
			return this.zones.confirmOwnZone(message.withdrawals());
		});
		this.transport.subscribe(WithdrawalSync.class, (from, message) -> {
			onContact();
			return CompletableFuture.completedFuture(new WithdrawalSyncAnswer(
					this.withdrawals.inDifferingBuckets(message.bucketDigests(), MAX_IN_MESSAGE),
					this.withdrawals.bucketDigests()));
		});
		this.timer.subscribe(ISOLATION_CHECK_MS, this::checkIsolation);
		this.store.start();
		List<CompletableFuture<?>> sources = new ArrayList<>();
		sources.add(this.archive.load().thenAccept(this::apply));
		sources.add(this.store.readAll());
		FanOut.targets(this.membership).stream().limit(START_PEERS).forEach((peer) -> sources.add(sync(peer)));
		CompletableFuture<Void> result = new CompletableFuture<>();
		CompletableFuture.allOf(sources.toArray(new CompletableFuture<?>[0]))
			.whenComplete((ignored, error) -> result.complete(null));
		return result;
	}

	/**
	 * Withdraws a key.
	 * @param key identifier of the key
	 * @param author who withdraws it
	 * @param reason why
	 * @param isKnown whether the configuration lists the key
	 * @return who has applied the withdrawal, within about 3 s
	 */
	CompletableFuture<WithdrawalResult> withdraw(KeyId key, String author, String reason, boolean isKnown) {
		this.steps.reached(Step.KEY_WITHDRAW);
		KeyWithdrawal known = this.withdrawals.get(key);
		KeyWithdrawal withdrawal = (known != null) ? known
				: new KeyWithdrawal(key, author, reason, this.timer.wallClockMs());
		long startMs = this.timer.nowMs();
		apply(List.of(withdrawal));
		CompletableFuture<Void> stored = this.store.write(List.of(withdrawal));
		return this.zones.confirm(List.of(withdrawal)).thenApply((answers) -> {
			long durationMs = this.timer.nowMs() - startMs;
			// An instance that was paused meanwhile could not be reached by its operator.
			boolean isPaused = this.pauses.hasPausedSince(startMs);
			this.invariants.check(Invariant.KEY_WITHDRAWAL, isPaused || durationMs <= IN_FORCE_MS,
					() -> "key " + key + " was confirmed after " + durationMs + " ms");
			boolean isStored = stored.isDone() && !stored.isCompletedExceptionally();
			WithdrawalResult result = result(key, isKnown, isStored, answers);
			this.events.record("key.withdrawn", "key", key, "author", author, "durable", result.isDurable(),
					"confirmedInstances", result.confirmedInstances(), "unreachableZones", result.unreachableZones(),
					"durationMs", durationMs);
			return result;
		});
	}

	/**
	 * Receives the digest of a peer, from its heartbeat, and fetches what is missing.
	 * @param peer the peer
	 * @param digest its digest
	 */
	public void onPeerDigest(InstanceId peer, String digest) {
		onContact();
		if (!digest.equals(digest())) {
			sync(peer);
		}
	}

	/**
	 * Notes that the platform or a peer has answered; otherwise the instance regards
	 * itself as isolated after {@link KeySettings#isolatedKeyAcceptMs()}.
	 */
	public void onContact() {
		this.contactMs = this.timer.nowMs();
		this.isolated = false;
	}

	/**
	 * Returns the digest of the known withdrawals, for heartbeats.
	 * @return the digest
	 */
	public String digest() {
		return this.withdrawals.digest();
	}

	/**
	 * Returns whether a key is withdrawn; may be called from any thread.
	 * @param key identifier of the key
	 * @return whether this instance knows of a withdrawal
	 */
	public boolean isWithdrawn(KeyId key) {
		return this.withdrawals.contains(key);
	}

	/**
	 * Returns whether the state of keys is unknown after a long isolation; may be called
	 * from any thread.
	 * @return whether keys must be refused
	 */
	public boolean isIsolated() {
		return this.isolated;
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
		return new KeyDump(this.withdrawals.all().size(), digest(), this.store.unstored(), this.store.isWatching(),
				this.isolated, openStreams);
	}

	private void checkIsolation() {
		boolean isNow = this.timer.nowMs() - this.contactMs > this.settings.isolatedKeyAcceptMs();
		if (isNow && !this.isolated) {
			this.events.record("key.isolated", "silentMs", this.timer.nowMs() - this.contactMs);
		}
		this.isolated = isNow;
	}

	private void apply(List<KeyWithdrawal> received) {
		if (received.stream().allMatch((withdrawal) -> this.withdrawals.contains(withdrawal.key()))) {
			return;
		}
		this.steps.reached(Step.KEY_WITHDRAW_APPLY);
		List<KeyWithdrawal> fresh = this.withdrawals.addAll(received);
		fresh.forEach((withdrawal) -> this.listeners.forEach((listener) -> listener.accept(withdrawal)));
		this.archive.save(this.withdrawals.all());
		for (int i = 0; i < fresh.size(); i += MAX_IN_MESSAGE) {
			WithdrawalPush push = new WithdrawalPush(fresh.subList(i, Math.min(fresh.size(), i + MAX_IN_MESSAGE)));
			FanOut.targets(this.membership).forEach((peer) -> this.transport.send(peer, push));
		}
	}

	private CompletableFuture<Void> sync(InstanceId peer) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		if (!this.syncing.add(peer)) {
			done.complete(null);
			return done;
		}
		this.transport
			.request(peer, new WithdrawalSync(this.withdrawals.bucketDigests()), WithdrawalSyncAnswer.class,
					this.settings.pushTimeoutMs())
			.whenComplete((answer, error) -> {
				this.syncing.remove(peer);
				if (answer != null) {
					onContact();
					exchange(peer, answer);
				}
				done.complete(null);
			});
		return done;
	}

	private void exchange(InstanceId peer, WithdrawalSyncAnswer answer) {
		Set<KeyId> received = new HashSet<>();
		answer.withdrawals().forEach((withdrawal) -> received.add(withdrawal.key()));
		List<KeyWithdrawal> lacking = new ArrayList<>(
				this.withdrawals.inDifferingBuckets(answer.bucketDigests(), MAX_IN_MESSAGE));
		lacking.removeIf((withdrawal) -> received.contains(withdrawal.key()));
		apply(answer.withdrawals());
		if (!lacking.isEmpty()) {
			this.transport.send(peer, new WithdrawalPush(lacking));
		}
	}

	private WithdrawalResult result(KeyId key, boolean isKnown, boolean isStored,
			Map<AvailabilityZone, @Nullable WithdrawalZoneAnswer> answers) {
		List<AvailabilityZone> confirmed = new ArrayList<>();
		List<AvailabilityZone> unreachable = new ArrayList<>();
		Map<AvailabilityZone, List<InstanceId>> incomplete = new TreeMap<>();
		int instances = 0;
		for (Map.Entry<AvailabilityZone, @Nullable WithdrawalZoneAnswer> entry : answers.entrySet()) {
			WithdrawalZoneAnswer answer = entry.getValue();
			if (answer == null) {
				unreachable.add(entry.getKey());
			}
			else {
				instances += answer.confirmed().size();
				if (answer.missing().isEmpty()) {
					confirmed.add(entry.getKey());
				}
				else {
					incomplete.put(entry.getKey(), answer.missing());
				}
			}
		}
		boolean isDurable = isStored || instances > this.settings.requiredCopies();
		return new WithdrawalResult(key, isKnown, isDurable, isStored, instances, confirmed, incomplete, unreachable);
	}

}
