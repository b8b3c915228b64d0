package dev.nutmegdoor.node.cluster;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks an instance to record what became of a call with unknown outcome.
 *
 * @param log program of the call, or the log of its idempotency key
 * @param key idempotency key
 * @param result answer of the operation, or {@code null} if it did not run
 * @param operator who resolves it
 */
public record ResolveRequest(ProgramId log, String key, @Nullable CallResult result,
		String operator) implements PeerMessage {

}
