package dev.nutmegdoor.core.conversation;

import org.jspecify.annotations.Nullable;

/**
 * A turn whose response has ended whole. The arrays are not copied and must not be
 * modified.
 *
 * @param key workspace and identifier of the turn
 * @param previousId identifier of the turn that it continues, or {@code null} for the
 * first turn of a chain
 * @param group decides which members store the turn; the same for all turns of a chain
 * @param input body of the client's request
 * @param output data of each event of the response, each followed by a line feed
 * @param retentionMs time in milliseconds for which the receiver keeps the turn and its
 * chain, counted from the receipt
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredTurn(TurnKey key, @Nullable String previousId, String group, byte[] input, byte[] output,
		long retentionMs) {

}
