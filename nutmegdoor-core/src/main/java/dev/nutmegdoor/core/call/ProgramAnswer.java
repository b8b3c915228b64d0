package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link ProgramOpen} and {@link ProgramClose}.
 *
 * @param program program that was to be opened or closed
 * @param refusal reason of the failure, or {@code null} on success
 */
public record ProgramAnswer(ProgramId program, @Nullable Refusal refusal) implements PeerMessage {

}
