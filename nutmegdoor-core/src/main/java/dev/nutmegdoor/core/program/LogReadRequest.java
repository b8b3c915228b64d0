package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request of a new owner that raises the epoch at a replica and reads a page of its logs.
 *
 * @param partition name of the partition
 * @param epoch partition epoch of the new owner
 * @param afterProgram last program of the previous page, empty for the first page
 */
public record LogReadRequest(String partition, long epoch, String afterProgram) implements PeerMessage {

}
