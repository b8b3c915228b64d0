package dev.nutmegdoor.core.limit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class BucketTests {

	private static final Limit LIMIT = new Limit(10_000, 20);

	// Guards against a burst above the rate because a forward clock jump fills the
	// bucket.
	@Test
	void refillsNothingAfterClockJumpsForward() {
		Bucket bucket = new Bucket(Limit.SHARE_UNITS, 0, 0, 1000).refill(LIMIT, 3_600_000, 1500);
		assertThat(bucket.tokensMicro(), is(0L));
		assertThat(bucket.refill(LIMIT, 3_601_000, 1500).tokensMicro(), is(10 * Limit.MICRO_PER_TOKEN));
	}

	// Guards against tokens refilled twice for the same time after the clock was set
	// back.
	@Test
	void doesNotRefillSameTimeTwiceWhenClockGoesBack() {
		Bucket bucket = new Bucket(Limit.SHARE_UNITS, 0, 0, 1000).refill(LIMIT, 2000, 1500);
		Bucket afterClockWentBack = bucket.refill(LIMIT, 1000, 1500).refill(LIMIT, 2000, 1500);
		assertThat(afterClockWentBack.tokensMicro(), is(bucket.tokensMicro()));
	}

	// Guards against a workspace that gets less or more than its rate, because refills of
	// a small share in short steps are rounded.
	@Property(tries = 200)
	void refillsAtRateForAnyStepLength(@ForAll @LongRange(min = 1, max = 1_000_000) long units,
			@ForAll @LongRange(min = 1, max = 100_000) long rateMilli,
			@ForAll @IntRange(min = 1, max = 700) int stepMs) {
		Limit limit = new Limit(rateMilli, 1_000_000);
		Bucket bucket = new Bucket(units, 0, 0, 0);
		long nowMs = 0;
		while (nowMs < 20_000) {
			nowMs += stepMs;
			bucket = bucket.refill(limit, nowMs, 1500);
		}
		long expectedMicro = rateMilli * units / 1000 * nowMs / 1000;
		assertThat(bucket.tokensMicro(), lessThanOrEqualTo(rateMilli * units * nowMs / 1_000_000));
		assertThat(bucket.tokensMicro(), greaterThanOrEqualTo(expectedMicro - nowMs / 1000 - 1));
	}

	// Guards against requests rejected because rebalancing leaves a holder with a bucket
	// too small for a whole token, or with a negative share.
	@Property(tries = 500)
	void rebalancingLeavesCapacityForOneTokenOnBothSides(@ForAll @LongRange(min = 0, max = 500_000) long donorUnits,
			@ForAll @LongRange(min = 0, max = 500_000) long requesterUnits,
			@ForAll @LongRange(min = 0, max = 100_000) long donorDemandMilli,
			@ForAll @LongRange(min = 0, max = 100_000) long requesterDemandMilli,
			@ForAll @IntRange(min = 1, max = 100) int burst) {
		Limit limit = new Limit(10_000, burst);
		long grantedUnits = RebalanceRule.unitsToGrant(limit, donorUnits, donorDemandMilli, requesterUnits,
				requesterDemandMilli);
		assertThat(grantedUnits, greaterThanOrEqualTo(0L));
		if (grantedUnits > 0) {
			assertThat(limit.capacityMicro(donorUnits - grantedUnits), greaterThanOrEqualTo(Limit.MICRO_PER_TOKEN));
			assertThat(limit.capacityMicro(requesterUnits + grantedUnits), greaterThanOrEqualTo(Limit.MICRO_PER_TOKEN));
		}
	}

}
