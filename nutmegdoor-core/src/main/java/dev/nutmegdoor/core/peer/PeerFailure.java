package dev.nutmegdoor.core.peer;

/**
 * Reason for a failed request to another instance.
 */
public enum PeerFailure {

	/** The message was not sent, so the receiver cannot have processed it. */
	NOT_SENT,

	/**
	 * No answer was received before the timeout; the receiver may have processed the
	 * request.
	 */
	TIMEOUT,

	/** The receiver answered with an error. */
	REMOTE_ERROR

}
