package dev.nutmegdoor.node.entry;

/**
 * State of an entry instance as its open routes show it.
 */
public enum InstanceState {

	/** Does not know its configuration or its share yet. */
	STARTING(false, false),

	/** Takes work. */
	READY(true, true),

	/** Asks the balancer for no more connections but still takes work. */
	LEAVING(false, true),

	/** Takes no new work; running calls finish. */
	DRAINING(false, false),

	/** Has handed over everything. */
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
