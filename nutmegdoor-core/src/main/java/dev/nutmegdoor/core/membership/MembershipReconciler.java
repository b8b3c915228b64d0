package dev.nutmegdoor.core.membership;

import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Fetches all members from a peer when this instance joins or when its digest differs
 * from that of the peer.
 */
final class MembershipReconciler {

	private static final long REQUEST_TIMEOUT_MS = 1000;

	/** Limits the traffic of complete member lists while many instances change. */
	private static final long MIN_INTERVAL_MS = 5000;

	private final TimerService timer;

	private final PeerTransport transport;

	private final UniformRandomProvider random;

	private long nextFetchMs = Long.MIN_VALUE;

	MembershipReconciler(TimerService timer, PeerTransport transport, UniformRandomProvider random) {
		this.timer = timer;
		this.transport = transport;
		this.random = random;
	}

	boolean isDue() {
		return this.timer.nowMs() >= this.nextFetchMs;
	}

	void fetch(InstanceId peer, MemberUpdate self, Consumer<MemberUpdate> receiver) {
		this.nextFetchMs = this.timer.nowMs() + MIN_INTERVAL_MS + this.random.nextLong(MIN_INTERVAL_MS);
		this.transport.request(peer, new MembershipSync(self), MembershipSyncAnswer.class, REQUEST_TIMEOUT_MS)
			.whenComplete((answer, error) -> {
				if (error == null) {
					answer.members().forEach(receiver);
				}
			});
	}

}
