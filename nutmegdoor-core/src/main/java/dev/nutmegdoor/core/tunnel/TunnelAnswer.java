package dev.nutmegdoor.core.tunnel;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to a {@link TunnelRequest}.
 *
 * @param outcome whether the tunnel is open
 */
public record TunnelAnswer(TunnelOutcome outcome) implements PeerMessage {

}
