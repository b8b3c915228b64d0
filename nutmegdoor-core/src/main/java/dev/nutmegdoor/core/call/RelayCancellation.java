package dev.nutmegdoor.core.call;

/**
 * Why a send is cancelled while its replica may be at work on the request. A replica that
 * does not respond is no reason.
 */
public enum RelayCancellation {

	/** The caller has disconnected. */
	CALLER_LEFT,

	/** The time of the request is up. */
	DEADLINE

}
