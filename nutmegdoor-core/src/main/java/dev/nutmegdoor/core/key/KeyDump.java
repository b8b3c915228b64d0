package dev.nutmegdoor.core.key;

/**
 * State of the key controller.
 *
 * @param withdrawals number of withdrawals on this instance
 * @param digest digest of the withdrawals
 * @param unstored number of withdrawals that this instance has not found in the store
 * @param isStoreWatched whether this instance watches the store and writes missing
 * withdrawals to it
 * @param isIsolated whether keys are rejected because their state is unknown
 * @param openStreams number of running streams of all keys
 */
public record KeyDump(int withdrawals, String digest, int unstored, boolean isStoreWatched, boolean isIsolated,
		int openStreams) {

}
