package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Record of a partition with its version, as cached by an instance and sent to peers, so
 * that they need not read the store.
 *
 * @param partition name of the partition
 * @param version version of the store object
 * @param record content of the store object
 */
public record PartitionHint(String partition, long version, PartitionRecord record) implements PeerMessage {

}
