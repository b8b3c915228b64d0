package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Confirms that the sender has applied the received withdrawals.
 *
 * @param digest digest of all withdrawals of the sender
 */
public record WithdrawalReceipt(String digest) implements PeerMessage {

}
