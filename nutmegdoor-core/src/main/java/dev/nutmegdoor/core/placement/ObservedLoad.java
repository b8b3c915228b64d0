package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Load of a replica as an instance has read it from a response.
 *
 * @param replica the replica
 * @param calls number of running and waiting calls of all instances
 * @param ageMs time since the measurement in milliseconds
 * @param requestsPerSecond rate that the replica has declared for all instances, 0 if it
 * has declared none; {@code null} from an instance of an older version
 * @param workPercent how long work took there at the time of the measurement, in per cent
 * of the usual time; {@code null} if the replica has not stated that, and from an
 * instance of an older version
 * @param speedLogFactor mean logarithm of the ratio of observed to modelled duration of
 * the answers since the last load; {@code null}, also from an instance of an older
 * version, if there is none
 * @param speedWeight weight of that mean; {@code null} if there is none
 */
public record ObservedLoad(UpstreamId replica, int calls, long ageMs, @Nullable Double requestsPerSecond,
		@Nullable Integer workPercent, @Nullable Double speedLogFactor, @Nullable Double speedWeight) {

	private static final double MAX_LOG_FACTOR = 5;

	private static final double MAX_WEIGHT = 10_000;

	/**
	 * Creates the load of a replica that does not state how long work takes.
	 * @param replica the replica
	 * @param calls number of running and waiting calls of all instances
	 * @param ageMs time since the measurement in milliseconds
	 * @param requestsPerSecond rate that the replica has declared
	 */
	public ObservedLoad(UpstreamId replica, int calls, long ageMs, @Nullable Double requestsPerSecond) {
		this(replica, calls, ageMs, requestsPerSecond, null, null, null);
	}

	// A sample out of bounds would spoil the estimate for minutes.
	@Nullable DurationSample speedSample() {
		Double logFactor = this.speedLogFactor;
		Double weight = this.speedWeight;
		if (logFactor == null || weight == null || !(Math.abs(logFactor) <= MAX_LOG_FACTOR)
				|| !(weight > 0 && weight <= MAX_WEIGHT)) {
			return null;
		}
		return new DurationSample(logFactor, weight);
	}

}
