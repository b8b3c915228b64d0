package dev.nutmegdoor.core.time;

import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Timer service on virtual time, which advances only through {@link #runNext()} and
 * {@link #advance(long)}. Tasks run in the order of their due times, and tasks with the
 * same due time in the order in which they were scheduled, so that runs are reproducible.
 * Not thread-safe.
 */
public final class VirtualTimerService implements TimerService {

	private final PriorityQueue<Task> queue = new PriorityQueue<>();

	private final long wallClockOriginMs;

	private long nowMs;

	private long nextInsertionOrder;

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
		Task scheduledTask = new Task(this.nowMs + delayMs, this.nextInsertionOrder++, task);
		this.queue.add(scheduledTask);
		return () -> scheduledTask.action = null;
	}

	@Override
	public Subscription subscribe(long periodMs, Runnable listener) {
		if (periodMs < 1) {
			throw new IllegalArgumentException("periodMs must be at least 1 but is " + periodMs);
		}
		PeriodicTask periodic = new PeriodicTask(periodMs, listener);
		periodic.scheduleNext();
		return periodic;
	}

	/**
	 * Advances the time to the next task and runs it.
	 * @return {@code false} if the queue is empty
	 */
	public boolean runNext() {
		Task task = this.queue.poll();
		if (task == null) {
			return false;
		}
		this.nowMs = task.dueMs;
		Runnable action = task.action;
		if (action != null) {
			action.run();
		}
		return true;
	}

	/**
	 * Advances the time by the given duration and runs all tasks that become due.
	 * @param durationMs duration in milliseconds
	 */
	public void advance(long durationMs) {
		long endMs = this.nowMs + durationMs;
		Task head = this.queue.peek();
		while (head != null && head.dueMs <= endMs) {
			runNext();
			head = this.queue.peek();
		}
		this.nowMs = endMs;
	}

	private static final class Task implements Comparable<Task> {

		private final long dueMs;

		private final long insertionOrder;

		private @Nullable Runnable action;

		private Task(long dueMs, long insertionOrder, Runnable action) {
			this.dueMs = dueMs;
			this.insertionOrder = insertionOrder;
			this.action = action;
		}

		@Override
		public int compareTo(Task other) {
			int dueTimeOrder = Long.compare(this.dueMs, other.dueMs);
			return (dueTimeOrder != 0) ? dueTimeOrder : Long.compare(this.insertionOrder, other.insertionOrder);
		}

	}

	private final class PeriodicTask implements Subscription {

		private final long periodMs;

		private final Runnable listener;

		private Subscription pending = () -> {
		};

		private boolean cancelled;

		private PeriodicTask(long periodMs, Runnable listener) {
			this.periodMs = periodMs;
			this.listener = listener;
		}

		private void scheduleNext() {
			this.pending = schedule(this.periodMs, () -> {
				scheduleNext();
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
