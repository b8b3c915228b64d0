package dev.nutmegdoor.node.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.jboss.logging.Logger;

import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Runs all control tasks of an instance on one thread, in order, and is its source of
 * time. {@link #nowMs} reads the monotonic clock of the JVM. A task that throws is logged
 * and does not stop later tasks; tasks submitted after {@link #close} are dropped.
 */
public final class ControlThread implements TimerService, Executor, AutoCloseable {

	private static final Logger logger = Logger.getLogger(ControlThread.class);

	private final ScheduledThreadPoolExecutor executor;

	/**
	 * Starts the thread.
	 * @param name name of the thread in logs and thread dumps
	 */
	public ControlThread(String name) {
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	@Override
	public long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	@Override
	public long wallClockMs() {
		return System.currentTimeMillis();
	}

	@Override
	public void execute(Runnable task) {
		try {
			this.executor.execute(logFailures(task));
		}
		catch (RejectedExecutionException ex) {
			logger.debug("event=control.rejected reason=closed");
		}
	}

	/**
	 * Runs a function on the control thread.
	 * @param function function to run
	 * @param <T> type of the result
	 * @return result or failure of the function; never completes if the thread is closed
	 * before the function runs
	 */
	public <T> CompletableFuture<T> call(Supplier<T> function) {
		return CompletableFuture.supplyAsync(function, this);
	}

	@Override
	public Subscription schedule(long delayMs, Runnable task) {
		if (delayMs < 0) {
			throw new IllegalArgumentException("delayMs must not be negative but is " + delayMs);
		}
		return submit(() -> this.executor.schedule(logFailures(task), delayMs, TimeUnit.MILLISECONDS));
	}

	@Override
	public Subscription subscribe(long periodMs, Runnable listener) {
		if (periodMs < 1) {
			throw new IllegalArgumentException("periodMs must be at least 1 but is " + periodMs);
		}
		return submit(() -> this.executor.scheduleWithFixedDelay(logFailures(listener), periodMs, periodMs,
				TimeUnit.MILLISECONDS));
	}

	/**
	 * Returns the number of tasks that wait for their time, periodic ones included.
	 * @return 0 if nothing will wake the thread by itself
	 */
	public int queuedTasks() {
		return this.executor.getQueue().size();
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private Subscription submit(Supplier<Future<?>> submission) {
		try {
			Future<?> future = submission.get();
			return () -> future.cancel(false);
		}
		catch (RejectedExecutionException ex) {
			return () -> {
			};
		}
	}

	private static Runnable logFailures(Runnable task) {
		// A task that throws must not end its periodic subscription, and its failure must
		// be logged. The executor would drop an Error without a trace as well.
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				logger.errorf(ex, "event=control.task_failed error=\"%s\"", ex.getMessage());
			}
		};
	}

}
