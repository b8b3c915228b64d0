package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks a home to open a program.
 *
 * @param program identifier chosen by the entry instance
 * @param workspace workspace
 * @param parent program whose sub-agent it is, or {@code null}
 */
public record ProgramOpen(ProgramId program, WorkspaceId workspace, @Nullable ProgramId parent) implements PeerMessage {

}
