package dev.nutmegdoor.core.fault;

/**
 * Protocol steps at which the fault matrix injects faults. The fault matrix fails if a
 * step has no scenario.
 */
public enum Step {

	/** Lease holder sends a renewal to the store. */
	LEASE_RENEW(Protocol.LEASE),

	/** Fencing instance writes the conditional update that ends a lease. */
	LEASE_FENCE(Protocol.LEASE),

	/** Token bucket consumes a token for a request. */
	ADMIT(Protocol.ADMISSION),

	/** Donor has deducted a share and is about to send it. */
	SHARE_SEND(Protocol.SHARE_TRANSFER),

	/** Receiver is about to add a share. */
	SHARE_RECEIVE(Protocol.SHARE_TRANSFER),

	/** Entry instance forwards a call to the home. */
	FORWARD(Protocol.FORWARD),

	/** Home writes the entries of a turn to its log and replicas. */
	APPEND(Protocol.APPEND),

	/** Home has received the acknowledgements of its replicas. */
	APPEND_DONE(Protocol.APPEND),

	/** Home sends the request to the upstream. */
	DISPATCH(Protocol.DISPATCH),

	/** Home has received the first output of the upstream. */
	STREAM(Protocol.STREAM),

	/** Home records the outcome of a call. */
	SETTLE(Protocol.SETTLE),

	/** New owner writes the partition record. */
	TAKEOVER_CLAIM(Protocol.TAKEOVER),

	/** New owner raises the epoch at the replicas and reads their logs. */
	TAKEOVER_READ(Protocol.TAKEOVER),

	/** Draining owner writes the partition record for its successor. */
	HAND_OVER(Protocol.HAND_OVER),

	/** Change by an operator is written to the configuration head. */
	CONFIGURATION_COMMIT(Protocol.CONFIGURATION),

	/** Instance applies a new configuration. */
	CONFIGURATION_APPLY(Protocol.CONFIGURATION),

	/** Instance accepts a withdrawal from the operator. */
	KEY_WITHDRAW(Protocol.KEY_WITHDRAWAL),

	/**
	 * Instance applies a withdrawal that it received from another instance or the store.
	 */
	KEY_WITHDRAW_APPLY(Protocol.KEY_WITHDRAWAL),

	/** Instance starts to drain. */
	DRAIN(Protocol.DRAIN),

	/** Instance sends an order with a fencing number to an engine. */
	ENGINE_ORDER(Protocol.ENGINE_ORDER);

	private final Protocol protocol;

	Step(Protocol protocol) {
		this.protocol = protocol;
	}

	public Protocol protocol() {
		return this.protocol;
	}

}
