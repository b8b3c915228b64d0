package dev.nutmegdoor.core.call;

/**
 * State of an at-most-once operation.
 */
public enum AtMostOnceState {

	/** The intent is recorded; the operation may have been sent. */
	INTENDED,

	/** The service responded; the operation succeeded or was rejected. */
	SETTLED,

	/** The operation was certainly not sent; it may be sent later. */
	NOT_SENT,

	/** The outcome is unknown. It is never sent again; an operator resolves it. */
	UNKNOWN

}
