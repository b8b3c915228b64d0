package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the active version of another instance. The receiver replies with
 * {@link ConfigurationAnnouncement} once the given version or a later one is active, or
 * when the wait ends.
 *
 * @param version minimum version that the sender waits for
 * @param waitMs maximum wait in milliseconds
 */
public record ConfigurationVersionRequest(long version, long waitMs) implements PeerMessage {

}
