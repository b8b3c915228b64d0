package dev.nutmegdoor.core.call;

/**
 * Outcome of one send of a relayed request.
 */
public enum RelayOutcome {

	/** The complete response of the replica has been forwarded to the caller. */
	ANSWERED(RunState.RAN, true, false),

	/** No connection was established; no byte of the request was written. */
	NOT_CONNECTED(RunState.NOT_RUN, false, true),

	/** Another replica now has the address; it did not run the request. */
	MISDIRECTED(RunState.NOT_RUN, false, true),

	/** The replica stated that it did not run the request. */
	DECLINED(RunState.NOT_RUN, true, false),

	/**
	 * The request was not sent, because replicas have crashed while they had it.
	 */
	WITHHELD(RunState.NOT_RUN, false, false),

	/** The request was not sent, because the zone of the replica is evacuated. */
	EVACUATED(RunState.NOT_RUN, false, false),

	/** The connection failed before any part of a response was forwarded. */
	BROKEN(RunState.UNKNOWN, true, true),

	/** The connection failed after a part of the response had been forwarded. */
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
	 * Returns whether the request was sent to the intended replica.
	 * @return {@code true} if it counts as one of the replicas the request was sent to
	 */
	public boolean isSent() {
		return this.isSent;
	}

	/**
	 * Returns whether the outcome indicates a fault of the replica or its connection.
	 * @return {@code true} if it counts as a failure of the replica
	 */
	public boolean isFailure() {
		return this.isFailure;
	}

}
