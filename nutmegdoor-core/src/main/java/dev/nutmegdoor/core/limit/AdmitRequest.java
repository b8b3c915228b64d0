package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a holder to admit a request.
 *
 * @param workspace workspace of the request
 * @param mayAskOthers whether the holder may ask other holders in turn
 */
public record AdmitRequest(WorkspaceId workspace, boolean mayAskOthers) implements PeerMessage {

}
