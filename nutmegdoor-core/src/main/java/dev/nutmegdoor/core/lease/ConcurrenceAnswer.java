package dev.nutmegdoor.core.lease;

import java.util.Map;

import dev.nutmegdoor.core.peer.PeerMessage;

/**
 * Answer of a witness to {@link ConcurrenceRequest}.
 *
 * @param isConcurring whether the witness will never again acknowledge the epoch
 * @param version version of the holder's holdings that the witness has
 * @param holdings the holdings at that version, empty if the witness doesn't concur
 */
public record ConcurrenceAnswer(boolean isConcurring, long version, Map<String, Long> holdings) implements PeerMessage {

	public ConcurrenceAnswer {
		holdings = Map.copyOf(holdings);
	}

}
