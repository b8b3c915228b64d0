package dev.nutmegdoor.node.relay;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnKey;

/**
 * A turn of a retained route while it runs.
 *
 * @param key identifies the turn for later ones, or {@code null} if the client sent no
 * usable identifier, so that no later turn can name it
 * @param previousId identifier of the turn that it continues, or {@code null}
 * @param group group of the chain
 * @param input body of the client's request
 * @param body body for the replica: the chain and the input
 * @param retentionMs time in milliseconds for which the turn is kept
 * @param release returns the memory of the body
 */
@SuppressWarnings("ArrayRecordComponent")
record RetainedTurn(@Nullable TurnKey key, @Nullable String previousId, String group, byte[] input, byte[] body,
		long retentionMs, Runnable release) {

	StoredTurn toStored(TurnKey ownKey, byte[] output) {
		return new StoredTurn(ownKey, this.previousId, this.group, this.input, output, this.retentionMs);
	}

}
