package dev.nutmegdoor.core.placement;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Applies the rates that replicas declare in their answers, as this instance or another
 * one has received them. Not thread-safe.
 */
final class DeclaredRates {

	/**
	 * Time in milliseconds for which a declared rate applies without being confirmed. An
	 * instance without a share of the rate sends nothing to the replica and, in a small
	 * deployment, has no other way to learn that the rate has ended. A random part of the
	 * same length keeps the instances from trying the replica at the same time.
	 */
	private static final long VALIDITY_MS = 30_000;

	private final RateShares shares;

	private final TimerService timer;

	private final UniformRandomProvider random;

	private final EventLog events;

	/**
	 * Creates an instance that knows no rates.
	 * @param shares divides a rate between the instances
	 * @param timer clock
	 * @param random seeded generator
	 * @param events log of rates that begin or end
	 */
	DeclaredRates(RateShares shares, TimerService timer, UniformRandomProvider random, EventLog events) {
		this.shares = shares;
		this.timer = timer;
		this.random = random;
		this.events = events;
	}

	void declare(ReplicaState replica, double requestsPerSecond, long declaredMs) {
		UpstreamId id = replica.upstream().id();
		double ownRequestsPerSecond = this.shares.shareOf(id, requestsPerSecond);
		long validForMs = VALIDITY_MS + this.random.nextLong(VALIDITY_MS);
		boolean isNew = replica.declaredRate()
			.declare(requestsPerSecond, ownRequestsPerSecond, declaredMs, validForMs, this.timer.nowMs());
		if (isNew) {
			this.events.record("replica.rate-declared", "replica", id, "requestsPerSecond", requestsPerSecond, "own",
					ownRequestsPerSecond);
		}
	}

	void withdraw(ReplicaState replica, long answeredMs) {
		if (replica.declaredRate().withdraw(answeredMs, this.timer.nowMs())) {
			this.events.record("replica.rate-ended", "replica", replica.upstream().id());
		}
	}

	/**
	 * Applies what another instance has observed.
	 * @param replica the replica
	 * @param requestsPerSecond declared rate, 0 if there was none, {@code null} if the
	 * other instance does not tell
	 * @param observedMs time of the observation in milliseconds
	 */
	void observedElsewhere(ReplicaState replica, @Nullable Double requestsPerSecond, long observedMs) {
		if (requestsPerSecond == null) {
			return;
		}
		if (requestsPerSecond > 0) {
			declare(replica, requestsPerSecond, observedMs);
		}
		else {
			withdraw(replica, observedMs);
		}
	}

}
