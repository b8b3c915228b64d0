package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to opening or ending a program.
 *
 * @param program the program
 * @param refusal why it failed, or {@code null}
 */
public record ProgramAnswer(ProgramId program, @Nullable Refusal refusal) implements PeerMessage {

}
