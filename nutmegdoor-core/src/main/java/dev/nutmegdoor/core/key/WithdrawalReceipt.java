package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Confirms that withdrawals are applied.
 *
 * @param digest digest of all withdrawals of the sender
 */
public record WithdrawalReceipt(String digest) implements PeerMessage {

}
