package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Requests the active version of the configuration from another instance.
 *
 * @param version active version of the sender
 * @param shards names of the shards that the sender has, by index
 * @param areEditsWanted whether the reply may contain edits instead of complete shards
 */
public record ConfigurationFetch(long version, List<String> shards, boolean areEditsWanted) implements PeerMessage {

	public ConfigurationFetch {
		shards = List.copyOf(shards);
	}

}
