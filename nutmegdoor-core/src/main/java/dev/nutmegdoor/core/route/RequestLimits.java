package dev.nutmegdoor.core.route;

/**
 * Limits of client requests and connections.
 *
 * @param maxHeaderBytes maximum size in bytes of the request line and the header fields
 * together
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param headerTimeoutMs time in milliseconds within which a complete header must be
 * received
 * @param idleTimeoutMs time in milliseconds after which an idle connection is closed
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/**
	 * Limits that apply where the configuration sets none; the values that operators of
	 * existing deployments use.
	 */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
