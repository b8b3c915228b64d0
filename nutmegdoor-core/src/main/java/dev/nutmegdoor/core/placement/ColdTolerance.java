package dev.nutmegdoor.core.placement;

/**
 * Number of requests that a cold replica survives in any one second: its declared rate
 * times a factor, and a number in addition.
 *
 * @param factor factor of the rate
 * @param additionalRequests number of requests in addition
 */
public record ColdTolerance(double factor, double additionalRequests) {

	double requestsPerWindow(ColdStart coldStart) {
		return this.factor * coldStart.requestsPerSecond() + this.additionalRequests;
	}

}
