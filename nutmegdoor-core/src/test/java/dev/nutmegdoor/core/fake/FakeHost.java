package dev.nutmegdoor.core.fake;

import java.util.ArrayDeque;
import java.util.Deque;

import dev.nutmegdoor.core.fault.InstanceStoppedException;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Simulated process with its timers and all callbacks it receives. A crashed host
 * discards callbacks. A paused host defers them until it is resumed, while its clock
 * continues to run.
 */
public final class FakeHost implements TimerService {

	private final VirtualTimerService timer;

	private final InstanceId id;

	private final AvailabilityZone availabilityZone;

	private final long clockOffsetMs;

	private final Deque<Runnable> deferredCallbacks = new ArrayDeque<>();

	private boolean crashed;

	private boolean paused;

	/**
	 * Creates a running host.
	 * @param timer virtual time of the simulation
	 * @param id identifier of the process
	 * @param availabilityZone zone of the process
	 * @param clockOffsetMs offset of the host's clocks from virtual time in milliseconds
	 */
	public FakeHost(VirtualTimerService timer, InstanceId id, AvailabilityZone availabilityZone, long clockOffsetMs) {
		this.timer = timer;
		this.id = id;
		this.availabilityZone = availabilityZone;
		this.clockOffsetMs = clockOffsetMs;
	}

	public InstanceId id() {
		return this.id;
	}

	public AvailabilityZone availabilityZone() {
		return this.availabilityZone;
	}

	public boolean isCrashed() {
		return this.crashed;
	}

	public boolean isPaused() {
		return this.paused;
	}

	/**
	 * Crashes the process. All pending and later callbacks are discarded.
	 */
	public void crash() {
		this.crashed = true;
		this.deferredCallbacks.clear();
	}

	/**
	 * Pauses the process. Callbacks are deferred until it is resumed.
	 */
	public void pause() {
		this.paused = true;
	}

	/**
	 * Resumes a paused process and runs the deferred callbacks in their order.
	 */
	public void resume() {
		this.paused = false;
		while (!this.paused && !this.crashed && !this.deferredCallbacks.isEmpty()) {
			run(this.deferredCallbacks.removeFirst());
		}
	}

	/**
	 * Runs a callback of this process, defers it while the process is paused, or discards
	 * it after a crash.
	 * @param callback callback, which may throw an {@link InstanceStoppedException} to
	 * crash the process
	 */
	public void run(Runnable callback) {
		if (this.crashed) {
			return;
		}
		if (this.paused) {
			this.deferredCallbacks.addLast(callback);
			return;
		}
		try {
			callback.run();
		}
		catch (InstanceStoppedException ex) {
			crash();
		}
	}

	@Override
	public long nowMs() {
		return this.timer.nowMs() + this.clockOffsetMs;
	}

	@Override
	public long wallClockMs() {
		return this.timer.wallClockMs() + this.clockOffsetMs;
	}

	@Override
	public Subscription schedule(long delayMs, Runnable task) {
		boolean[] cancelled = new boolean[1];
		Subscription subscription = this.timer.schedule(delayMs, () -> run(() -> {
			if (!cancelled[0]) {
				task.run();
			}
		}));
		return () -> {
			cancelled[0] = true;
			subscription.cancel();
		};
	}

	@Override
	public Subscription subscribe(long periodMs, Runnable listener) {
		return new PeriodicTask(periodMs, listener);
	}

	/**
	 * Schedules the next tick from within the current one, so that a paused host defers
	 * at most one tick.
	 */
	private final class PeriodicTask implements Subscription {

		private final long periodMs;

		private final Runnable listener;

		private Subscription pending;

		private boolean cancelled;

		private PeriodicTask(long periodMs, Runnable listener) {
			this.periodMs = periodMs;
			this.listener = listener;
			this.pending = schedule(periodMs, this::tick);
		}

		private void tick() {
			this.pending = schedule(this.periodMs, this::tick);
			this.listener.run();
			if (this.cancelled) {
				this.pending.cancel();
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			this.pending.cancel();
		}

	}

}
