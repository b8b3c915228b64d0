package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the home of a program to close it.
 *
 * @param program program to close
 * @param workspace workspace of the caller's key
 */
public record ProgramClose(ProgramId program, WorkspaceId workspace) implements PeerMessage {

}
