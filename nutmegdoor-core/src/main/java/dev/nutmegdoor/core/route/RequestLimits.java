package dev.nutmegdoor.core.route;

/**
 * Bounds of what a client may send.
 *
 * @param maxHeaderBytes bytes of the request line and the header fields together
 * @param maxBodyBytes bytes of a body
 * @param headerTimeoutMs time in which a header must be complete in milliseconds
 * @param idleTimeoutMs time after which an idle connection is closed in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** Limits that the deployments' operators have set so far. */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
