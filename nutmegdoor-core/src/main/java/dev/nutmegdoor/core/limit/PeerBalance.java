package dev.nutmegdoor.core.limit;

/**
 * Last known state of another holder's bucket.
 *
 * @param units units that the bucket holds
 * @param tokensMicro micro-tokens in the bucket at that time
 * @param isOverloaded whether the holder's local demand exceeds its share
 * @param atMs local time at which the state was received, in milliseconds
 */
record PeerBalance(long units, long tokensMicro, boolean isOverloaded, long atMs) {

	long estimateMicro(Limit limit, long nowMs) {
		long accruedMicro = limit.rateMilli() * this.units / Limit.SHARE_UNITS * (nowMs - this.atMs);
		return Math.min(limit.capacityMicro(this.units), this.tokensMicro + accruedMicro);
	}

}
