package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a holder for a part of its share; answered by {@link ShareAnswer}. The part itself
 * comes as a {@link ShareTransfer}.
 *
 * @param workspace the workspace
 * @param units units of the asking holder
 * @param demandMilli its demand in thousandths of requests a second
 * @param tokensMicro micro-tokens that it needs at once; 0 if it only wants a share that
 * fits its demand
 */
public record ShareRequest(WorkspaceId workspace, long units, long demandMilli,
		long tokensMicro) implements PeerMessage {

}
