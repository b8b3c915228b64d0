package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Asks another instance for its version of the configuration.
 *
 * @param version version that the sender has
 * @param shards names of the shards that the sender has, by index
 * @param areEditsWanted whether edits may be sent instead of whole shards
 */
public record ConfigurationFetch(long version, List<String> shards, boolean areEditsWanted) implements PeerMessage {

	public ConfigurationFetch {
		shards = List.copyOf(shards);
	}

}
