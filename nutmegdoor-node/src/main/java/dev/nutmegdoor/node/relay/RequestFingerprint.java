package dev.nutmegdoor.node.relay;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Identifies a request by its content, so that all instances recognise it when a client
 * sends it again as a new attempt.
 *
 * @param value hash of method, target, workspace and body
 */
record RequestFingerprint(long value) {

	/**
	 * Computes the fingerprint of a request.
	 * @param method HTTP method
	 * @param target path with the query
	 * @param workspace workspace of the client's key, or {@code null} on public routes
	 * @param body complete body
	 * @return the same value for the same request at all instances
	 */
	static RequestFingerprint of(String method, String target, @Nullable WorkspaceId workspace, byte[] body) {
		long headHash = LongHashFunction.xx().hashChars(method + " " + target + " " + workspace);
		return new RequestFingerprint(LongHashFunction.xx(headHash).hashBytes(body));
	}

	@Override
	public String toString() {
		return Long.toHexString(this.value);
	}

}
