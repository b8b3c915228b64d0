package dev.nutmegdoor.core.peer;

/**
 * Reason for a failed request to another instance.
 */
public enum PeerFailure {

	/** The message was not sent, so the receiver did nothing. */
	NOT_SENT,

	/** No answer arrived in time; the receiver may have acted. */
	TIMEOUT,

	/** The receiver answered with an error. */
	REMOTE_ERROR

}
