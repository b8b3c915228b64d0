package dev.nutmegdoor.standin.engine;

/**
 * Faults in force on a modelled engine.
 *
 * @param slowFactor factor on the time of each step, at least 1
 * @param failRate share of requests that fail after they were accepted, 0 to 1
 * @param hangRate share of requests that never generate anything, 0 to 1
 * @param isReportStale whether the load report stays at its last value
 */
public record EngineFaults(double slowFactor, double failRate, double hangRate, boolean isReportStale) {

	/** No faults. */
	public static final EngineFaults NONE = new EngineFaults(1, 0, 0, false);

}
