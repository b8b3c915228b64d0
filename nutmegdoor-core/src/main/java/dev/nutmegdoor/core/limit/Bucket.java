package dev.nutmegdoor.core.limit;

/**
 * Immutable state of the token bucket of one holder. It never has more tokens than the
 * capacity of its share, so that all buckets of a workspace together never have more than
 * the burst.
 *
 * @param units units of the share
 * @param tokensMicro micro-tokens
 * @param carry part of a micro-token that was earned, in millionths
 * @param refilledMs time up to which tokens were earned
 */
public record Bucket(long units, long tokensMicro, long carry, long refilledMs) {

	static Bucket empty(long nowMs) {
		return new Bucket(0, 0, 0, nowMs);
	}

	/**
	 * Earns the tokens of the time that has passed.
	 * @param limit rate and burst
	 * @param nowMs current time; an earlier time than before earns nothing
	 * @param maxGapMs longest span that earns tokens
	 * @return the new state
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
