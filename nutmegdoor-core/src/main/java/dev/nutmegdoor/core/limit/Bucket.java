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
		long gapMs = nowMs - this.refilledMs;
		if (gapMs <= 0) {
			return clip(limit);
		}
		if (gapMs > maxGapMs) {
			return new Bucket(this.units, this.tokensMicro, 0, nowMs).clip(limit);
		}
		long earned = limit.rateMilli() * this.units * gapMs + this.carry;
		return new Bucket(this.units, this.tokensMicro + earned / Limit.TOKEN, earned % Limit.TOKEN, nowMs).clip(limit);
	}

	private Bucket clip(Limit limit) {
		long capacity = limit.capacityMicro(this.units);
		return (this.tokensMicro < capacity) ? this : new Bucket(this.units, capacity, 0, this.refilledMs);
	}

	boolean hasToken() {
		return this.tokensMicro >= Limit.TOKEN;
	}

	Bucket take() {
		return new Bucket(this.units, this.tokensMicro - Limit.TOKEN, this.carry, this.refilledMs);
	}

	Bucket add(long addedUnits, long addedTokensMicro, Limit limit) {
		return new Bucket(this.units + addedUnits, this.tokensMicro + addedTokensMicro, 0, this.refilledMs).clip(limit);
	}

	Bucket remove(long removedUnits, long removedTokensMicro, Limit limit) {
		return new Bucket(this.units - removedUnits, this.tokensMicro - removedTokensMicro, 0, this.refilledMs)
			.clip(limit);
	}

}
