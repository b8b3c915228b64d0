package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Tells a peer of the record of a partition.
 *
 * @param partition name of the partition
 * @param version version of the store object
 * @param record content
 */
public record PartitionHint(String partition, long version, PartitionRecord record) implements PeerMessage {

}
