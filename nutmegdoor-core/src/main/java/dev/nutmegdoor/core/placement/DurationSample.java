package dev.nutmegdoor.core.placement;

/**
 * Durations of answers of a replica relative to the cost model.
 *
 * @param logFactor weighted mean of the natural logarithms of the ratio of observed to
 * modelled duration, without the factors that the replica stated
 * @param weight sum of the weights of the answers
 */
record DurationSample(double logFactor, double weight) {

	DurationSample plus(DurationSample other) {
		double sum = this.weight + other.weight;
		return new DurationSample((this.logFactor * this.weight + other.logFactor * other.weight) / sum, sum);
	}

}
