package dev.nutmegdoor.core.call;

/**
 * Why a send is cancelled while its replica may be at work on the request.
 */
public enum RelayCancellation {

	/** The caller has disconnected. */
	CALLER_LEFT,

	/** The time of the request is up. */
	DEADLINE,

	/** The availability zone of the replica does not respond. */
	ZONE_SILENT

}
