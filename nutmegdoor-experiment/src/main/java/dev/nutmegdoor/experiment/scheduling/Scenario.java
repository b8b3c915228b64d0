package dev.nutmegdoor.experiment.scheduling;

import java.util.Locale;

/**
 * What happens during a run. All scenarios of a seed and load have the same arrivals,
 * except that {@link #HEAVY} adds those of the heavy workspace.
 */
public enum Scenario {

	/** Nothing fails. */
	CALM,

	/** One workspace sends five times its rate. */
	HEAVY,

	/** One engine dies after a third of the arrivals. */
	REPLICA_LOST,

	/** One zone is cut off from the others for 30 seconds. */
	ZONE_CUT,

	/** A third of the cache events is lost and the others arrive after 3 seconds. */
	EVENT_GAPS;

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
