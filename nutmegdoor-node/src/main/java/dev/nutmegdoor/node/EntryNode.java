package dev.nutmegdoor.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.node.entry.EntryDependencies;
import dev.nutmegdoor.node.entry.EntryServer;
import dev.nutmegdoor.node.entry.InstanceState;
import dev.nutmegdoor.node.settings.EntrySettings;

/**
 * One entry instance: starts it, and stops it without interrupting a request.
 */
public final class EntryNode {

	private static final long POLL_PERIOD_MS = 20;

	/**
	 * Longest wait for the hand-over. When a whole deployment stops at once nobody takes
	 * anything over; what was not handed over is reassigned after the lease has expired.
	 */
	private static final long HAND_OVER_TIMEOUT_MS = 10_000;

	private final EntrySettings settings;

	private final EntryDependencies dependencies;

	private final Supplier<CompletableFuture<Void>> handOver;

	private final Runnable releaseResources;

	private final EntryServer server;

	/**
	 * Creates an instance.
	 * @param settings settings of the instance
	 * @param dependencies parts that run requests
	 * @param handOver gives away what the instance owns, after its last request
	 * @param releaseResources releases connections and threads
	 */
	public EntryNode(EntrySettings settings, EntryDependencies dependencies, Supplier<CompletableFuture<Void>> handOver,
			Runnable releaseResources) {
		this.settings = settings;
		this.dependencies = dependencies;
		this.handOver = handOver;
		this.releaseResources = releaseResources;
		this.server = new EntryServer(settings, dependencies);
	}

	/**
	 * Binds the server and takes work.
	 * @return address for callers
	 */
	public InetSocketAddress start() {
		InetSocketAddress address = this.server.start();
		this.server.enter(InstanceState.READY);
		this.dependencies.eventLog()
			.record("entry.started", "instance", this.settings.instance(), "zone", this.settings.availabilityZone(),
					"address", address.getAddress().getHostAddress() + ":" + address.getPort());
		return address;
	}

	public EntryDependencies dependencies() {
		return this.dependencies;
	}

	public InstanceState state() {
		return this.server.state();
	}

	/**
	 * Stops the instance gracefully: readiness turns false, then new work is refused,
	 * running requests finish, what the instance owns is handed over. Blocks until that
	 * is done or the drain timeout has passed.
	 * @return whether no request was interrupted
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean drain() throws InterruptedException {
		this.server.enter(InstanceState.LEAVING);
		Thread.sleep(this.settings.timeouts().drainNoticeMs());
		this.server.enter(InstanceState.DRAINING);
		long deadlineNs = System.nanoTime() + Duration.ofMillis(this.settings.timeouts().drainMs()).toNanos();
		while (this.server.runningRequests() > 0 && System.nanoTime() < deadlineNs) {
			Thread.sleep(POLL_PERIOD_MS);
		}
		int interruptedRequests = this.server.runningRequests();
		boolean isUninterrupted = this.dependencies.invariants()
			.check(Invariant.GRACEFUL_SHUTDOWN, interruptedRequests == 0, () -> interruptedRequests
					+ " requests were interrupted after " + this.settings.timeouts().drainMs() + " ms");
		awaitHandOver();
		stop();
		return isUninterrupted;
	}

	private void awaitHandOver() throws InterruptedException {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.dependencies.timers().schedule(0, () -> this.handOver.get().whenComplete((value, error) -> {
			if (error != null) {
				done.completeExceptionally(error);
			}
			else {
				done.complete(null);
			}
		}));
		try {
			done.get(Math.min(HAND_OVER_TIMEOUT_MS, this.settings.timeouts().drainMs()), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			this.dependencies.eventLog()
				.record("entry.hand_over_failed", "instance", this.settings.instance(), "error", ex);
		}
	}

	/**
	 * Stops the instance at once.
	 */
	public void stop() {
		this.server.enter(InstanceState.STOPPED);
		this.server.stop();
		this.releaseResources.run();
	}

}
