package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.quarantine.RequestFingerprint;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.node.entry.ControlBridge;

/**
 * Tells a crash of a replica from the failure of a single connection: a crash closes all
 * connections to the replica, and it accepts no new one until it has started again.
 * Confined to the event loop of the pool.
 */
final class CrashWatch {

	/**
	 * Time in milliseconds in which the other connections of a crashed replica are closed
	 * as well; several times the delay between zones.
	 */
	private static final long CHECK_DELAY_MS = 50;

	private final UpstreamPool pool;

	private final RequestQuarantine quarantine;

	private final ControlBridge control;

	private final Map<UpstreamId, List<Runnable>> pendingChecks = new HashMap<>();

	/**
	 * Creates a watch.
	 * @param pool connections to replicas
	 * @param quarantine receives the crashes, on the control thread
	 * @param control runs tasks on the control thread
	 */
	CrashWatch(UpstreamPool pool, RequestQuarantine quarantine, ControlBridge control) {
		this.pool = pool;
		this.quarantine = quarantine;
		this.control = control;
	}

	/**
	 * Called when the connection to a replica is lost while it has a request. The replica
	 * counts as crashed unless another connection to it outlives this one or it accepts a
	 * new one.
	 * @param fingerprint fingerprint of the request
	 * @param upstream the replica
	 * @param sentMs time at which the request was sent in milliseconds
	 */
	void connectionLost(RequestFingerprint fingerprint, Upstream upstream, long sentMs) {
		long lostNs = System.nanoTime();
		long lostMs = this.control.timers().nowMs();
		Runnable crashed = () -> this.control
			.execute(() -> this.quarantine.crashed(fingerprint, upstream.id(), sentMs, lostMs));
		List<Runnable> pending = this.pendingChecks.get(upstream.id());
		if (pending != null) {
			pending.add(crashed);
			return;
		}
		this.pendingChecks.put(upstream.id(), new ArrayList<>(List.of(crashed)));
		this.pool.eventLoop().schedule(() -> check(upstream, lostNs), CHECK_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	private void check(Upstream upstream, long lostNs) {
		if (this.pool.hasConnectionSince(upstream, lostNs)) {
			end(upstream, true);
			return;
		}
		this.pool.checkAlive(upstream, (isAlive) -> end(upstream, isAlive));
	}

	private void end(Upstream upstream, boolean isAlive) {
		List<Runnable> pending = this.pendingChecks.remove(upstream.id());
		if (pending != null && !isAlive) {
			pending.forEach(Runnable::run);
		}
	}

}
