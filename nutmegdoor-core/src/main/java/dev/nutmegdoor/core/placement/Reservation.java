package dev.nutmegdoor.core.placement;

import dev.nutmegdoor.core.configuration.Upstream;

/**
 * A call's place on a replica, from dispatch to outcome.
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
	 * Notes that the replica has generated the first output.
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
