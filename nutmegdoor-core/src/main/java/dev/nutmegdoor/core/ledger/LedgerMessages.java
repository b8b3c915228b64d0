package dev.nutmegdoor.core.ledger;

import java.util.List;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Lists the peer messages of the ledger.
 */
public final class LedgerMessages {

	private LedgerMessages() {
	}

	public static List<Class<? extends PeerMessage>> types() {
		return List.of(LedgerReserve.class, LedgerAnswer.class, LedgerUpdate.class, LedgerSync.class,
				LedgerSyncAnswer.class, LedgerProxyReserve.class, LedgerProxyUpdate.class);
	}

}
