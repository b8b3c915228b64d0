package dev.nutmegdoor.core.limit;

/**
 * Last known state of another holder's bucket.
 *
 * @param units units of its share
 * @param tokensMicro its micro-tokens
 * @param isOverloaded whether its own demand exceeds its share
 * @param atMs time at which the state became known
 */
record PeerBalance(long units, long tokensMicro, boolean isOverloaded, long atMs) {

	long estimateMicro(Limit limit, long nowMs) {
		long accruedMicro = limit.rateMilli() * this.units / Limit.SHARE_UNITS * (nowMs - this.atMs);
		return Math.min(limit.capacityMicro(this.units), this.tokensMicro + accruedMicro);
	}

}
