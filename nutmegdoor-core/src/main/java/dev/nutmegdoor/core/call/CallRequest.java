package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * An authenticated and admitted call.
 *
 * @param decision identifier under which the call can be explained
 * @param workspace workspace of the caller's key
 * @param key identifier of the caller's key; the key itself is not passed on to this
 * layer
 * @param program program of the call, or {@code null} if it belongs to none
 * @param turn number of the call within its program, from 1; 0 without a program
 * @param workKind kind of work, empty if the caller named none
 * @param payload request to the upstream
 * @param timeoutMs time remaining for the call in milliseconds
 */
public record CallRequest(DecisionId decision, WorkspaceId workspace, KeyId key, @Nullable ProgramId program, int turn,
		String workKind, CallPayload payload, long timeoutMs) {

}
