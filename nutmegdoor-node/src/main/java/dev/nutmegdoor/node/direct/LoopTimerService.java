package dev.nutmegdoor.node.direct;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

import dev.nutmegdoor.core.time.Subscription;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Control thread of one instance on a scheduled executor. Tasks may be scheduled from any
 * thread.
 */
public final class LoopTimerService implements TimerService, AutoCloseable {

	private static final Logger logger = Logger.getLogger(LoopTimerService.class);

	private final ScheduledExecutorService executor;

	public LoopTimerService(String threadName) {
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, threadName);
			thread.setDaemon(true);
			return thread;
		});
	}

	@Override
	public long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	@Override
	public long wallClockMs() {
		return System.currentTimeMillis();
	}

	@Override
	public Subscription schedule(long delayMs, Runnable task) {
		try {
			ScheduledFuture<?> future = this.executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
			return () -> future.cancel(false);
		}
		catch (RejectedExecutionException ex) {
			// The instance has stopped; nothing may run any more.
			return () -> {
			};
		}
	}

	@Override
	public Subscription subscribe(long periodMs, Runnable listener) {
		ScheduledFuture<?> future = this.executor.scheduleAtFixedRate(guarded(listener), periodMs, periodMs,
				TimeUnit.MILLISECONDS);
		return () -> future.cancel(false);
	}

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.errorf(ex, "event=control.task_failed error=\"%s\"", ex);
			}
		};
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
