package dev.nutmegdoor.core.configuration;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply to {@link ConfigurationFetch}: either the edits from the requester's version to
 * the head, or shards that the requester lacks.
 *
 * @param head JSON form of the head
 * @param edits edits in the order of their versions, empty if shards are sent
 * @param shards shards that fit into one message
 * @param isComplete whether this is the last page that the requester needs
 */
public record ConfigurationPage(String head, List<ConfigurationEdit> edits, List<ConfigurationShardText> shards,
		boolean isComplete) implements PeerMessage {

	public ConfigurationPage {
		edits = List.copyOf(edits);
		shards = List.copyOf(shards);
	}

}
