package dev.nutmegdoor.node.entry;

/**
 * State of an entry instance as reported by its routes without authentication.
 */
public enum InstanceState {

	/** Has not yet loaded its configuration or its share of the limits. */
	STARTING(false, false),

	/** Accepts requests. */
	READY(true, true),

	/**
	 * Reports that it is not ready, so that the load balancer opens no more connections,
	 * but still accepts requests.
	 */
	LEAVING(false, true),

	/** Rejects new requests; running calls finish. */
	DRAINING(false, false),

	/** Stopped; a drained instance has handed over all that it owned. */
	STOPPED(false, false);

	private final boolean isReady;

	private final boolean isAccepting;

	InstanceState(boolean isReady, boolean isAccepting) {
		this.isReady = isReady;
		this.isAccepting = isAccepting;
	}

	boolean isReady() {
		return this.isReady;
	}

	boolean isAccepting() {
		return this.isAccepting;
	}

}
