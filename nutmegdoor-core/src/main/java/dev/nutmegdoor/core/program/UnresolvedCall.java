package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * An operation whose outcome is unknown and that an operator has to resolve.
 *
 * @param log program of the call, or the log of its idempotency key
 * @param key idempotency key
 * @param workspace workspace of the call
 * @param service name of the service
 * @param operation name of the operation
 * @param body body of the request
 * @param sinceMs wall-clock time at which the key was first seen
 */
public record UnresolvedCall(ProgramId log, String key, WorkspaceId workspace, String service, String operation,
		String body, long sinceMs) {

}
