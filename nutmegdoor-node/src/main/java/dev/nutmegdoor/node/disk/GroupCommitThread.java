package dev.nutmegdoor.node.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiFunction;

import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Writes to a log on one thread, which starts with the first write. Writes that arrive
 * while the disk is busy are forced together. If one of them fails, all of the group are
 * undone and fail; if they can't be undone, all later writes fail, because a restart
 * would not read them.
 *
 * @param <W> a write
 */
public final class GroupCommitThread<W> implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(GroupCommitThread.class);

	private final String name;

	private final Executor control;

	private final WriteTarget<W> target;

	private final BiFunction<String, @Nullable Throwable, RuntimeException> failures;

	private final BlockingQueue<Pending<W>> queue = new LinkedBlockingQueue<>();

	private @Nullable Thread thread;

	private boolean isClosed;

	/** Whether writes could not be undone; used on the thread only. */
	private boolean isBroken;

	/**
	 * Creates the thread without starting it.
	 * @param name name of the thread in logs and thread dumps
	 * @param control executor on which futures complete
	 * @param target log that is written
	 * @param failures creates the exception with which a write fails
	 */
	public GroupCommitThread(String name, Executor control, WriteTarget<W> target,
			BiFunction<String, @Nullable Throwable, RuntimeException> failures) {
		this.name = name;
		this.control = control;
		this.target = target;
		this.failures = failures;
	}

	/**
	 * Adds a write.
	 * @param write what to write
	 * @return completes with the write when it is on the disk
	 */
	public CompletableFuture<W> submit(W write) {
		Pending<W> pending = new Pending<>(write);
		this.queue.add(pending);
		startIfNeeded();
		return pending.result;
	}

	@Override
	public synchronized void close() {
		this.isClosed = true;
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private synchronized void startIfNeeded() {
		if (this.thread == null && !this.isClosed) {
			Thread created = new Thread(this::run, this.name);
			created.setDaemon(true);
			this.thread = created;
			created.start();
		}
	}

	private void run() {
		List<Pending<W>> group = new ArrayList<>();
		try {
			while (!Thread.currentThread().isInterrupted()) {
				group.add(this.queue.take());
				this.queue.drainTo(group);
				write(List.copyOf(group));
				group.clear();
			}
		}
		catch (InterruptedException ex) {
			logger.debugf("event=log.closed log=%s", this.name);
		}
	}

	private void write(List<Pending<W>> group) {
		if (this.isBroken) {
			fail(group, this.failures.apply("the log accepts no writes after a failure of the disk", null));
			return;
		}
		try {
			for (Pending<W> pending : group) {
				this.target.write(pending.write);
			}
			this.target.force();
			this.control.execute(() -> group.forEach((pending) -> pending.result.complete(pending.write)));
		}
		catch (IOException | RuntimeException ex) {
			logger.errorf("event=log.write_failed log=%s writes=%d error=\"%s\"", this.name, group.size(),
					ex.getMessage());
			rollBack();
			fail(group, this.failures.apply("the log can't be written: " + ex.getMessage(), ex));
		}
	}

	private void rollBack() {
		try {
			this.target.rollBack();
		}
		catch (IOException ex) {
			this.isBroken = true;
			logger.errorf("event=log.closed_for_writes log=%s error=\"%s\"", this.name, ex.getMessage());
		}
	}

	private void fail(List<Pending<W>> group, RuntimeException failure) {
		this.control.execute(() -> group.forEach((pending) -> pending.result.completeExceptionally(failure)));
	}

	private static final class Pending<W> {

		private final W write;

		private final CompletableFuture<W> result = new CompletableFuture<>();

		private Pending(W write) {
			this.write = write;
		}

	}

}
