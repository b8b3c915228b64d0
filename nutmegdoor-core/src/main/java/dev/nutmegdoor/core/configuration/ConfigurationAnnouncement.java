package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells another instance which version is in force at the sender.
 *
 * @param version the version
 */
public record ConfigurationAnnouncement(long version) implements PeerMessage {

}
