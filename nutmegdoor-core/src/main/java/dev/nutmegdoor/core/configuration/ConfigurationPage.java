package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer to {@link ConfigurationFetch}: either the edits that lead from the sender's
 * version to the head, or shards that the sender lacks.
 *
 * @param head JSON form of the head
 * @param edits edits, empty if shards are sent
 * @param shards shards that fit into one message
 * @param isComplete whether the sender has everything after this page
 */
public record ConfigurationPage(String head, List<ConfigurationEdit> edits, List<ConfigurationShardText> shards,
		boolean isComplete) implements PeerMessage {

	public ConfigurationPage {
		edits = List.copyOf(edits);
		shards = List.copyOf(shards);
	}

}
