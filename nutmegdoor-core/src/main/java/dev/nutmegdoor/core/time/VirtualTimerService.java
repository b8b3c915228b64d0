package dev.nutmegdoor.core.time;

import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Event queue on virtual time. Tasks run in the order of their time, tasks of the same
 * time in the order in which they were scheduled, so that equal inputs give equal runs.
 */
public final class VirtualTimerService implements TimerService {

	private final PriorityQueue<Task> queue = new PriorityQueue<>();

	private final long wallClockOriginMs;

	private long nowMs;

	private long sequence;

	public VirtualTimerService(long wallClockOriginMs) {
		this.wallClockOriginMs = wallClockOriginMs;
	}

	@Override
	public long nowMs() {
		return this.nowMs;
	}

	@Override
	public long wallClockMs() {
		return this.wallClockOriginMs + this.nowMs;
	}

	@Override
	public Subscription schedule(long delayMs, Runnable task) {
		if (delayMs < 0) {
			throw new IllegalArgumentException("delayMs must not be negative but is " + delayMs);
		}
		Task entry = new Task(this.nowMs + delayMs, this.sequence++, task);
		this.queue.add(entry);
		return () -> entry.action = null;
	}

	@Override
	public Subscription subscribe(long periodMs, Runnable listener) {
		if (periodMs < 1) {
			throw new IllegalArgumentException("periodMs must be at least 1 but is " + periodMs);
		}
		Periodic periodic = new Periodic(periodMs, listener);
		periodic.arm();
		return periodic;
	}

	/**
	 * Runs the next task, moving time forward to it.
	 * @return {@code false} if no task is left
	 */
	public boolean runNext() {
		Task task = this.queue.poll();
		if (task == null) {
			return false;
		}
		this.nowMs = task.atMs;
		Runnable action = task.action;
		if (action != null) {
			action.run();
		}
		return true;
	}

	/**
	 * Runs all tasks that fall within the given span and moves time forward by it.
	 * @param durationMs span in milliseconds
	 */
	public void advance(long durationMs) {
		long untilMs = this.nowMs + durationMs;
		Task head = this.queue.peek();
		while (head != null && head.atMs <= untilMs) {
			runNext();
			head = this.queue.peek();
		}
		this.nowMs = untilMs;
	}

	private static final class Task implements Comparable<Task> {

		private final long atMs;

		private final long order;

		private @Nullable Runnable action;

		private Task(long atMs, long order, Runnable action) {
			this.atMs = atMs;
			this.order = order;
			this.action = action;
		}

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	private final class Periodic implements Subscription {

		private final long periodMs;

		private final Runnable listener;

		private Subscription pending = () -> {
		};

		private boolean cancelled;

		private Periodic(long periodMs, Runnable listener) {
			this.periodMs = periodMs;
			this.listener = listener;
		}

		private void arm() {
			this.pending = schedule(this.periodMs, () -> {
				arm();
				this.listener.run();
			});
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
