package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Request to a replica to store an entry durably and to return all entries that it has of
 * the program.
 *
 * @param entry the entry, which includes the tokens reserved for the new turn
 * @param membersFingerprint {@link LedgerMembers#fingerprintOf fingerprint} of the
 * replicas that the sender knows; 0 from an instance of an older version
 */
public record LedgerReserve(LedgerEntry entry, long membersFingerprint) implements PeerMessage {

}
