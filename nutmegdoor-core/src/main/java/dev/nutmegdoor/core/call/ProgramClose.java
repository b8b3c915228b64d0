package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a home to end a program.
 *
 * @param program the program
 * @param workspace workspace
 */
public record ProgramClose(ProgramId program, WorkspaceId workspace) implements PeerMessage {

}
