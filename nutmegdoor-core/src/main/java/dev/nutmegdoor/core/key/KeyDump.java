package dev.nutmegdoor.core.key;

/**
 * State of the key controller.
 *
 * @param withdrawals number of known withdrawals
 * @param digest digest of the withdrawals
 * @param unstored withdrawals that this instance doesn't know to be in the store
 * @param isStoreWatched whether this instance keeps the store and its zone in step
 * @param isIsolated whether keys are refused because their state is unknown
 * @param openStreams running streams by key
 */
public record KeyDump(int withdrawals, String digest, int unstored, boolean isStoreWatched, boolean isIsolated,
		int openStreams) {

}
