package dev.nutmegdoor.core.call;

/**
 * States of an operation that may run at most once.
 */
public enum AtMostOnceState {

	/** The intent is recorded; the operation may be on its way. */
	INTENDED,

	/** The service answered; the operation succeeded or was rejected. */
	SETTLED,

	/** The operation was certainly not sent; it may be sent later. */
	NOT_SENT,

	/** Nobody knows whether it ran. It is never sent again; an operator resolves it. */
	UNKNOWN

}
