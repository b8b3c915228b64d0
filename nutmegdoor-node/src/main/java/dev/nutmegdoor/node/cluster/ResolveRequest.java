package dev.nutmegdoor.node.cluster;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests that an instance record the outcome of a call whose outcome is unknown.
 *
 * @param log program of the call, or the log of its idempotency key
 * @param key idempotency key
 * @param result result of the operation, or {@code null} if it did not run
 * @param operator operator who resolves the call
 */
public record ResolveRequest(ProgramId log, String key, @Nullable CallResult result,
		String operator) implements PeerMessage {

}
