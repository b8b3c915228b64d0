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
 * Starts one entry instance, and stops it without interrupting requests.
 */
public final class EntryNode {

	private static final long POLL_PERIOD_MS = 20;

	/**
	 * Maximum wait for the handover. When an entire deployment stops at the same time, no
	 * instance can take over; what was not handed over is reassigned after the lease has
	 * expired.
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
	 * @param dependencies dependencies of the entry server
	 * @param handOver transfers what the instance owns to other instances; called on the
	 * control thread after the last request
	 * @param releaseResources closes connections and threads; called last
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
	 * Binds the server and starts accepting requests.
	 * @return address on which clients connect
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
	 * Stops the instance gracefully: it reports that it is not ready, then rejects new
	 * requests, waits for running requests up to the drain timeout, and hands over what
	 * it owns. Blocks until the instance has stopped.
	 * @return {@code true} if no request was interrupted
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
	 * Stops the instance immediately. Running requests are interrupted and nothing is
	 * handed over.
	 */
	public void stop() {
		this.server.enter(InstanceState.STOPPED);
		this.server.stop();
		this.releaseResources.run();
	}

}
