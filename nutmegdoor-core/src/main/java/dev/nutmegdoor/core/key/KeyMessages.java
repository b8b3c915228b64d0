package dev.nutmegdoor.core.key;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Messages of this package, for the codec.
 */
public final class KeyMessages {

	private KeyMessages() {
	}

	/**
	 * Returns the classes of the messages.
	 * @return all of them
	 */
	public static List<Class<? extends PeerMessage>> types() {
		return List.of(WithdrawalPush.class, WithdrawalReceipt.class, WithdrawalSync.class, WithdrawalSyncAnswer.class,
				WithdrawalZoneRequest.class, WithdrawalZoneAnswer.class);
	}

}
