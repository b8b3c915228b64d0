package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * The slot of a call at a replica, from dispatch until the call ends.
 */
public final class Reservation {

	private final ReplicaState replica;

	private final ReplicaState.InFlightCall call;

	Reservation(ReplicaState replica, ReplicaState.InFlightCall call) {
		this.replica = replica;
		this.call = call;
	}

	public Upstream upstream() {
		return this.replica.upstream();
	}

	/**
	 * Records that the replica has generated output, so that the prompt of the call no
	 * longer counts as waiting for prefill.
	 */
	public void markOutputStarted() {
		this.call.markOutputStarted();
	}

	ReplicaState replica() {
		return this.replica;
	}

	ReplicaState.InFlightCall call() {
		return this.call;
	}

}
