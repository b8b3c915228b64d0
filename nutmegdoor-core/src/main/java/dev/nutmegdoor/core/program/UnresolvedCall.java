package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * An at-most-once operation whose outcome is unknown until an operator resolves it.
 *
 * @param log program of the call, or the log of its idempotency key if it has no program
 * @param key idempotency key
 * @param workspace workspace of the call
 * @param service name of the service
 * @param operation name of the operation
 * @param body body of the request
 * @param sinceMs time of the first use of the key in milliseconds since 1970
 */
public record UnresolvedCall(ProgramId log, String key, WorkspaceId workspace, String service, String operation,
		String body, long sinceMs) {

}
