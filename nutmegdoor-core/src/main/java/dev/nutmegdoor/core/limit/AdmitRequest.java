package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests an admission from a holder.
 *
 * @param workspace workspace of the request
 * @param mayAskOthers whether the holder may query other holders in turn
 */
public record AdmitRequest(WorkspaceId workspace, boolean mayAskOthers) implements PeerMessage {

}
