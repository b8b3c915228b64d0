package dev.nutmegdoor.core.tunnel;

/**
 * Outcome of a request for a tunnel. The replica has received nothing in any of them.
 */
public enum TunnelOutcome {

	/** The tunnel is open. */
	CONNECTED,

	/** The instance doesn't list the replica, or lists it as leaving. */
	UNKNOWN_REPLICA,

	/** The replica didn't accept a connection in time. */
	REPLICA_UNREACHABLE,

	/** The instance is draining or reaches no replica. */
	UNAVAILABLE

}
