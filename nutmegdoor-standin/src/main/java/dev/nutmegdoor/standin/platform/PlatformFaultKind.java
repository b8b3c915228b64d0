package dev.nutmegdoor.standin.platform;

/**
 * Kind of a fault that the stand-in injects.
 */
public enum PlatformFaultKind {

	/** Requests are rejected with status 503 before they have an effect. */
	OUTAGE,

	/** Connections are closed before the request has an effect. */
	UNREACHABLE,

	/** Requests are delayed. */
	SLOW,

	/** Changes take effect and the connection is closed without a response. */
	LOST_ANSWER,

	/** Changes take effect and the response has status 500. */
	ERROR_AFTER_EFFECT

}
