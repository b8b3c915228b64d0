package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the home of a partition to open a program in it.
 *
 * @param program identifier chosen by the entry instance
 * @param workspace workspace of the new program
 * @param parent program whose sub-agent the new one is, or {@code null}
 */
public record ProgramOpen(ProgramId program, WorkspaceId workspace, @Nullable ProgramId parent) implements PeerMessage {

}
