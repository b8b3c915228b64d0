package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the message types of this package for registration with the codec.
 */
public final class KeyMessages {

	private KeyMessages() {
	}

	/**
	 * Returns the message types of this package.
	 * @return an immutable list of all types
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(WithdrawalPush.class, WithdrawalReceipt.class, WithdrawalSync.class, WithdrawalSyncAnswer.class,
				WithdrawalZoneRequest.class, WithdrawalZoneAnswer.class);
	}

}
