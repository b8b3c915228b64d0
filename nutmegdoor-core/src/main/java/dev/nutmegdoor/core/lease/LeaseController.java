package dev.nutmegdoor.core.lease;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Maintains the lease of this instance, acts as a witness of other leases, and fences
 * instances that are unresponsive. An instance with a valid lease is never fenced: its
 * record in the store must have been unchanged for a full lease term, and a quorum of its
 * witnesses must have received no heartbeat for as long. The acknowledgements that extend
 * a lease and the concurrences that fence it always have a witness in common. All methods
 * must be called on the control thread.
 */
public final class LeaseController implements InstanceLease, LeaseHoldings {

	/** Delay of a tick that shows that this process was paused and missed heartbeats. */
	private static final long PAUSE_THRESHOLD_MS = 1000;

	private final TimerService timer;

	private final PeerTransport transport;

	private final UniformRandomProvider random;

	private final LeaseSettings settings;

	private final OwnLease lease;

	private final WitnessRegister register;

	private final LeaseFencer fencer;

	private final LeaseReaper reaper;

	private long lastTickMs;

	public LeaseController(TimerService timer, PeerTransport transport, ObjectStore store, MembershipView membership,
			UniformRandomProvider random, StepListener steps, EventLog eventLog, LeaseSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.random = random;
		this.settings = settings;
		LeaseRecords records = new LeaseRecords(store);
		this.register = new WitnessRegister(settings);
		this.lease = new OwnLease(timer, transport, records, new WitnessSelector(membership), random, steps, eventLog,
				settings);
		this.fencer = new LeaseFencer(transport.self(), timer, transport, records, this.register, random, steps,
				eventLog, settings);
		this.reaper = new LeaseReaper(membership, timer);
	}

	/**
	 * Acquires the lease, and starts to act as a witness and to fence unresponsive
	 * instances. Must be called after the membership has started.
	 */
	public void start() {
		this.lastTickMs = this.timer.nowMs();
		this.transport.subscribe(LeaseBeat.class, (from, message) -> CompletableFuture
			.completedFuture(this.register.receiveBeat(from, message, this.timer.nowMs())));
		this.transport.subscribe(ConcurrenceRequest.class, (from, message) -> {
			handlePause();
			return CompletableFuture.completedFuture(this.register.concur(message, this.timer.nowMs()));
		});
		this.lease.start();
		this.timer.schedule(1 + this.random.nextLong(this.settings.beatMs()), () -> {
			tick();
			this.timer.subscribe(this.settings.beatMs(), this::tick);
		});
		this.timer.schedule(1 + this.random.nextLong(this.settings.reapMs()),
				() -> this.timer.subscribe(this.settings.reapMs(), this::reap));
	}

	@Override
	public boolean isValid() {
		return this.lease.isValid();
	}

	@Override
	public long epoch() {
		return this.lease.epoch();
	}

	@Override
	public void subscribe(LeaseListener listener) {
		this.lease.subscribe(listener);
	}

	@Override
	public CompletableFuture<Boolean> fence(InstanceId holder) {
		return this.fencer.fence(holder);
	}

	@Override
	public CompletableFuture<Boolean> record(Map<String, Long> changes) {
		return this.lease.record(changes);
	}

	@Override
	public void subscribeTakeover(TakeoverListener listener) {
		this.fencer.subscribeTakeover(listener);
	}

	@Override
	public CompletableFuture<@Nullable Map<String, Long>> finalHoldings(InstanceId holder) {
		return this.fencer.finalHoldings(holder);
	}

	/**
	 * Releases the lease at the end of a drain. This instance must not own anything any
	 * more.
	 * @return completes with {@code true} once the store has recorded the release
	 */
	public CompletableFuture<Boolean> release() {
		return this.lease.release();
	}

	/**
	 * Returns a snapshot of the state for the operator.
	 * @return the snapshot
	 */
	public LeaseDump dump() {
		long nowMs = this.timer.nowMs();
		return new LeaseDump(this.lease.state(), epoch(), Math.max(0, this.lease.validUntilMs() - nowMs),
				this.lease.witnesses(), this.lease.holdings().version(), this.lease.holdings().size(),
				this.register.sinceLastBeatMs(nowMs), this.fencer.attempts());
	}

	private void tick() {
		handlePause();
		this.lastTickMs = this.timer.nowMs();
		this.lease.tick();
	}

	private void handlePause() {
		long nowMs = this.timer.nowMs();
		if (nowMs - this.lastTickMs > this.settings.beatMs() + PAUSE_THRESHOLD_MS) {
			this.register.resetSilenceTimers(nowMs);
		}
	}

	private void reap() {
		if (!isValid()) {
			return;
		}
		for (InstanceId holder : this.reaper.dueHolders()) {
			fence(holder).thenAccept((isFenced) -> {
				if (isFenced) {
					this.reaper.remove(holder);
				}
			});
		}
	}

}
