package dev.nutmegdoor.core.call;

/**
 * What became of one send of a relayed request.
 */
public enum RelayOutcome {

	/** The caller has the replica's whole answer. */
	ANSWERED(RunState.RAN, true, false),

	/** No connection was established; no byte of the request was written. */
	NOT_CONNECTED(RunState.NOT_RUN, false, true),

	/** Another replica has taken over the address; it did not run the request. */
	MISDIRECTED(RunState.NOT_RUN, false, true),

	/** The replica stated that it did not run the request. */
	DECLINED(RunState.NOT_RUN, true, false),

	/** The connection failed before any piece of an answer was passed on. */
	BROKEN(RunState.UNKNOWN, true, true),

	/** The answer broke off after a piece of it had been passed on. */
	TRUNCATED(RunState.RAN, true, true);

	private final RunState runState;

	private final boolean isSent;

	private final boolean isFailure;

	RelayOutcome(RunState runState, boolean isSent, boolean isFailure) {
		this.runState = runState;
		this.isSent = isSent;
		this.isFailure = isFailure;
	}

	public RunState run() {
		return this.runState;
	}

	/**
	 * Returns whether the replica that was meant received the request.
	 * @return {@code true} if it counts as one of the replicas the request was sent to
	 */
	public boolean isSent() {
		return this.isSent;
	}

	/**
	 * Returns whether the outcome speaks against the health of the replica.
	 * @return {@code true} if it does
	 */
	public boolean isFailure() {
		return this.isFailure;
	}

}
