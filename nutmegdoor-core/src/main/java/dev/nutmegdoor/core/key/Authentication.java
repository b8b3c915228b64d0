package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Outcome of an authentication.
 *
 * @param key identifier of the key, or {@code null} if refused
 * @param workspace workspace of the key, or {@code null} if refused
 * @param refusal reason, or {@code null} if authenticated
 */
public record Authentication(@Nullable KeyId key, @Nullable WorkspaceId workspace, @Nullable RefusalReason refusal) {

	public static Authentication of(KeyId key, WorkspaceId workspace) {
		return new Authentication(key, workspace, null);
	}

	public static Authentication refused(RefusalReason reason) {
		return new Authentication(null, null, reason);
	}

}
