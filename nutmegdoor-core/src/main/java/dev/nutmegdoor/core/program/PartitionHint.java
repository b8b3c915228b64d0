package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Sends the record of a partition to a peer, so that it need not read the store.
 *
 * @param partition name of the partition
 * @param version version of the store object
 * @param record content of the store object
 */
public record PartitionHint(String partition, long version, PartitionRecord record) implements PeerMessage {

}
