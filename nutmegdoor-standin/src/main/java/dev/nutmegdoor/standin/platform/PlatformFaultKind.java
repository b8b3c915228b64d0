package dev.nutmegdoor.standin.platform;

/**
 * Kinds of faults that the stand-in causes.
 */
public enum PlatformFaultKind {

	/** Calls are refused with 503 before they have an effect. */
	OUTAGE,

	/** Connections are closed before the call has an effect. */
	UNREACHABLE,

	/** Calls are delayed. */
	SLOW,

	/** Changes take effect and the connection is closed without an answer. */
	LOST_ANSWER,

	/** Changes take effect and the answer is 500. */
	ERROR_AFTER_EFFECT

}
