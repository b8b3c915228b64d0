package dev.nutmegdoor.experiment.load;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * What operators and failures do to the fleet while the load runs.
 */
final class DemoEvents {

	private static final double WITHDRAWAL_PART = 0.3;

	/** Time for the stream of the key's caller to begin before the withdrawal. */
	private static final long STREAM_HEAD_START_MS = 500;

	private static final double LEAVING_PART = 0.45;

	private static final double DRAIN_PART = 0.6;

	private static final double KILL_PART = 0.75;

	private final LoadContext context;

	private final Fleet fleet;

	private final ConfigurationChecker versions;

	private final InvariantRegistry invariants;

	private final Consumer<String> progress;

	DemoEvents(LoadContext context, Fleet fleet, ConfigurationChecker versions, InvariantRegistry invariants,
			Consumer<String> progress) {
		this.context = context;
		this.fleet = fleet;
		this.versions = versions;
		this.invariants = invariants;
		this.progress = progress;
	}

	/**
	 * Runs the events at fixed parts of the run.
	 * @param startNs start of the load
	 * @param seconds duration of the load
	 * @param withdrawn workspace whose key is withdrawn
	 * @param changed configuration in which the upstream is leaving
	 * @param leaving the leaving upstream
	 * @param drained instance that stops gracefully
	 * @param killed instance that dies
	 */
	void run(long startNs, int seconds, DemoWorkspace withdrawn, Configuration changed, UpstreamId leaving,
			FleetInstance drained, FleetInstance killed) {
		try {
			awaitPart(startNs, seconds, WITHDRAWAL_PART);
			this.progress.accept("withdrawing the key of " + withdrawn.id());
			Thread probe = new Thread(() -> new WithdrawnKeyCaller(this.context, withdrawn).run(), "withdrawn-caller");
			probe.start();
			Thread.sleep(STREAM_HEAD_START_MS);
			this.fleet.withdraw(withdrawn.keyId());
			this.context.withdrawn(withdrawn.id());
			awaitPart(startNs, seconds, LEAVING_PART);
			this.progress.accept("upstream " + leaving + " is leaving");
			this.fleet.apply(changed);
			this.versions.accepted(changed.version());
			this.context.watch().leaving(leaving);
			awaitPart(startNs, seconds, DRAIN_PART);
			this.progress.accept("draining " + drained.id());
			this.context.draining(drained.address());
			boolean isClean = drained.drain();
			this.invariants.check(Invariant.GRACEFUL_SHUTDOWN, isClean,
					() -> "instance " + drained.id() + " interrupted requests");
			awaitPart(startNs, seconds, KILL_PART);
			this.progress.accept("killing " + killed.id());
			this.context.killed(killed.address());
			killed.kill();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void awaitPart(long startNs, int seconds, double part) throws InterruptedException {
		long atNs = startNs + (long) (TimeUnit.SECONDS.toNanos(seconds) * part);
		long waitNs = atNs - System.nanoTime();
		if (waitNs > 0) {
			TimeUnit.NANOSECONDS.sleep(waitNs);
		}
	}

}
