package dev.nutmegdoor.node.upstream;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Last check of a request before it is written to an upstream: no key of a caller leaves
 * the process, and a leaving upstream gets no new work. A request that fails the check is
 * not sent.
 */
public final class OutboundRequestCheck {

	/** Time in which a leaving upstream must stop getting work (design, section 1.2). */
	private static final long LEAVING_GRACE_MS = 3_000;

	private final KeyScanner keyScanner;

	private final InvariantRegistry invariants;

	private final TimerService timers;

	private final Map<UpstreamId, Long> leavingSinceMs = new HashMap<>();

	public OutboundRequestCheck(KeyScanner keyScanner, ConfigurationView configuration, InvariantRegistry invariants,
			TimerService timers) {
		this.keyScanner = keyScanner;
		this.invariants = invariants;
		this.timers = timers;
		applyConfiguration(configuration.current());
		configuration.subscribe(this::applyConfiguration);
	}

	private synchronized void applyConfiguration(Configuration configuration) {
		this.leavingSinceMs.keySet().removeIf((id) -> {
			Upstream upstream = configuration.upstreams().get(id);
			return upstream != null && !upstream.isLeaving();
		});
		for (Upstream upstream : configuration.upstreams().values()) {
			if (upstream.isLeaving()) {
				this.leavingSinceMs.putIfAbsent(upstream.id(), this.timers.nowMs());
			}
		}
	}

	/**
	 * Checks a request that starts new work.
	 * @param upstream receiver
	 * @param parts all texts of the request that depend on the caller
	 * @throws UpstreamException if the request must not be sent
	 */
	void checkNewWork(Upstream upstream, String... parts) {
		checkContent(upstream, parts);
		long leavingMs = leavingMs(upstream.id());
		boolean isOpen = this.invariants.check(Invariant.UPSTREAM_DRAIN, leavingMs <= LEAVING_GRACE_MS,
				() -> "new work for upstream " + upstream.id() + ", which has been leaving for " + leavingMs
						+ " ms, was not sent");
		if (!isOpen) {
			throw new UpstreamException(RunState.NOT_RUN, "upstream " + upstream.id() + " is leaving");
		}
	}

	/**
	 * Checks a request that asks about earlier work.
	 * @param upstream receiver
	 * @param parts all texts of the request that depend on the caller
	 * @throws UpstreamException if the request must not be sent
	 */
	void checkContent(Upstream upstream, String... parts) {
		boolean hasKey = false;
		for (String part : parts) {
			hasKey |= this.keyScanner.containsKey(part);
		}
		boolean isConfidential = this.invariants.check(Invariant.KEY_CONFIDENTIALITY, !hasKey,
				() -> "request to upstream " + upstream.id() + " contained a caller's key and was not sent");
		if (!isConfidential) {
			throw new UpstreamException(RunState.NOT_RUN, "the request contains a caller's key");
		}
	}

	private synchronized long leavingMs(UpstreamId id) {
		Long sinceMs = this.leavingSinceMs.get(id);
		return (sinceMs != null) ? this.timers.nowMs() - sinceMs : 0;
	}

}
