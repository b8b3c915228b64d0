package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance for its version; answered with {@link ConfigurationAnnouncement}
 * once that version or a later one is in force, or when the wait ends.
 *
 * @param version version that the sender waits for
 * @param waitMs longest wait in milliseconds
 */
public record ConfigurationVersionRequest(long version, long waitMs) implements PeerMessage {

}
