package dev.nutmegdoor.standin.relay;

/**
 * Requests that the clients send.
 */
enum RequestMix {

	/** Requests and streams on all routes, a few of them with method HEAD. */
	USUAL,

	/** As usual, but half of them without {@code Attempt-Id}. */
	WITHOUT_ID,

	/** Half of them with method HEAD, on routes for safe and for unsafe requests. */
	HEAD

}
