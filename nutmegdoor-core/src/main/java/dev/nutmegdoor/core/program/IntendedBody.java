package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Body of {@link EntryType#CALL_INTENDED}.
 *
 * @param turn number of the turn, 0 without a program
 * @param key idempotency key
 * @param requestHash hash of the request's payload
 * @param workspace workspace of the call
 * @param call the operation
 * @param wallClockMs time of the first use of the key in milliseconds since 1970
 */
record IntendedBody(int turn, String key, long requestHash, WorkspaceId workspace, ServiceCall call, long wallClockMs) {

}
