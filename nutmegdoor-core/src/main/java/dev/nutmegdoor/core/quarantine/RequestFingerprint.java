package dev.nutmegdoor.core.quarantine;

import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Identifies a request by what it asks for, so that all instances recognise it when a
 * client sends it again as a new attempt.
 *
 * @param content hash of method, path with query, workspace and body
 * @param object hash of method, path and workspace. The body of a turn contains the turns
 * before it, so a program that goes on after a crash sends another body for the same
 * object
 */
public record RequestFingerprint(long content, long object) {

	/**
	 * Computes the fingerprint of a request.
	 * @param method HTTP method
	 * @param path path without the query
	 * @param target path with the query
	 * @param workspace workspace of the client's key, or {@code null} on public routes
	 * @param body complete body
	 * @return the same value for the same request at all instances
	 */
	public static RequestFingerprint of(String method, String path, String target, @Nullable WorkspaceId workspace,
			byte[] body) {
		long object = LongHashFunction.xx().hashChars(method + " " + path + " " + workspace);
		long head = LongHashFunction.xx(object).hashChars(target);
		return new RequestFingerprint(LongHashFunction.xx(head).hashBytes(body), object);
	}

	List<Long> keys() {
		return List.of(this.content, this.object);
	}

	@Override
	public String toString() {
		return Long.toHexString(this.content) + "/" + Long.toHexString(this.object);
	}

}
