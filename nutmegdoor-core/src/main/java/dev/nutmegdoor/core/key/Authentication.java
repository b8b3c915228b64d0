package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Result of an authentication.
 *
 * @param key identifier of the key, or {@code null} if rejected
 * @param workspace workspace of the key, or {@code null} if rejected
 * @param refusal reason of the rejection, or {@code null} if authenticated
 */
public record Authentication(@Nullable KeyId key, @Nullable WorkspaceId workspace, @Nullable RefusalReason refusal) {

	public static Authentication of(KeyId key, WorkspaceId workspace) {
		return new Authentication(key, workspace, null);
	}

	public static Authentication refused(RefusalReason reason) {
		return new Authentication(null, null, reason);
	}

}
