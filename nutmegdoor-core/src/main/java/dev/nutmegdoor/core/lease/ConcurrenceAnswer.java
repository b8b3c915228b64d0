package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Reply of a witness to a {@link ConcurrenceRequest}.
 *
 * @param isConcurring {@code true} if the witness never acknowledges this epoch again
 * @param version latest version of the holder's holdings that the witness stores
 * @param holdings holdings at that version; empty if the witness does not concur
 */
public record ConcurrenceAnswer(boolean isConcurring, long version, Map<String, Long> holdings) implements PeerMessage {

	public ConcurrenceAnswer {
		holdings = Map.copyOf(holdings);
	}

}
