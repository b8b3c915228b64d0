package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests part of a holder's share. The holder replies with {@link ShareAnswer} and
 * delivers the units in a separate {@link ShareTransfer}.
 *
 * @param workspace workspace of the share
 * @param units units of the requesting holder
 * @param demandMilli demand at the requesting holder in thousandths of requests per
 * second
 * @param tokensMicro micro-tokens that are needed immediately; 0 to rebalance the shares
 * by demand
 */
public record ShareRequest(WorkspaceId workspace, long units, long demandMilli,
		long tokensMicro) implements PeerMessage {

}
