package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Announces the active version of the sender to another instance.
 *
 * @param version the active version of the sender
 */
public record ConfigurationAnnouncement(long version) implements PeerMessage {

}
