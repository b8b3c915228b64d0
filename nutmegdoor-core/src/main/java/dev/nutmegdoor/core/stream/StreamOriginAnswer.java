package dev.nutmegdoor.core.stream;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link StreamOriginQuery}.
 *
 * @param target where the stream may go on, as far as this instance knows
 */
public record StreamOriginAnswer(ResumeTarget target) implements PeerMessage {

}
