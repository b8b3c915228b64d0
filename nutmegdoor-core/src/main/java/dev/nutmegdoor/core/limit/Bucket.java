package dev.nutmegdoor.core.limit;

/**
 * Immutable state of the token bucket of one holder. It never contains more tokens than
 * the capacity of its units, so all buckets of a workspace together never contain more
 * than the burst.
 *
 * @param units units of the share that the bucket holds
 * @param tokensMicro available micro-tokens
 * @param carry remainder of the last refill below one micro-token, in millionths of a
 * micro-token
 * @param refilledMs time up to which the bucket was refilled, in milliseconds
 */
public record Bucket(long units, long tokensMicro, long carry, long refilledMs) {

	static Bucket empty(long nowMs) {
		return new Bucket(0, 0, 0, nowMs);
	}

	/**
	 * Adds the tokens for the time since the last refill, up to the capacity.
	 * @param limit rate and burst of the workspace
	 * @param nowMs current time in milliseconds; a time before the last refill adds
	 * nothing
	 * @param maxGapMs maximum time since the last refill in milliseconds; a longer one is
	 * skipped and adds nothing
	 * @return the refilled bucket
	 */
	public Bucket refill(Limit limit, long nowMs, long maxGapMs) {
		long elapsedMs = nowMs - this.refilledMs;
		if (elapsedMs <= 0) {
			return clipToCapacity(limit);
		}
		if (elapsedMs > maxGapMs) {
			return new Bucket(this.units, this.tokensMicro, 0, nowMs).clipToCapacity(limit);
		}
		long accruedPico = limit.rateMilli() * this.units * elapsedMs + this.carry;
		return new Bucket(this.units, this.tokensMicro + accruedPico / Limit.MICRO_PER_TOKEN,
				accruedPico % Limit.MICRO_PER_TOKEN, nowMs)
			.clipToCapacity(limit);
	}

	private Bucket clipToCapacity(Limit limit) {
		long capacityMicro = limit.capacityMicro(this.units);
		return (this.tokensMicro < capacityMicro) ? this : new Bucket(this.units, capacityMicro, 0, this.refilledMs);
	}

	boolean hasToken() {
		return this.tokensMicro >= Limit.MICRO_PER_TOKEN;
	}

	Bucket takeToken() {
		return new Bucket(this.units, this.tokensMicro - Limit.MICRO_PER_TOKEN, this.carry, this.refilledMs);
	}

	Bucket add(long addedUnits, long addedTokensMicro, Limit limit) {
		return new Bucket(this.units + addedUnits, this.tokensMicro + addedTokensMicro, 0, this.refilledMs)
			.clipToCapacity(limit);
	}

	Bucket remove(long removedUnits, long removedTokensMicro, Limit limit) {
		return new Bucket(this.units - removedUnits, this.tokensMicro - removedTokensMicro, 0, this.refilledMs)
			.clipToCapacity(limit);
	}

}
