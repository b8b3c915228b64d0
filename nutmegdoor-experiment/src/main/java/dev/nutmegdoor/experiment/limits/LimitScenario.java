package dev.nutmegdoor.experiment.limits;

import java.util.Locale;

/**
 * Situations in which the mechanisms are compared. Times are milliseconds from the first
 * arrival.
 */
public enum LimitScenario {

	/** All workspaces stay within their rates. */
	CALM,

	/** The largest workspace sends five times its rate. */
	HEAVY_TENANT,

	/** The last zone is cut off from the other zones and from the store for a while. */
	PARTITION,

	/** The store is out for a while. */
	OUTAGE,

	/** Two instances crash and are replaced 30 s later. */
	CRASH,

	/** All instances are replaced, one after the other. */
	ROLLING_REPLACEMENT;

	static final long DURATION_MS = 120_000;

	static final long FAULT_START_MS = 30_000;

	static final long FAULT_END_MS = 80_000;

	static final long REPLACE_AFTER_MS = 30_000;

	static final long ROLLING_STEP_MS = 10_000;

	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	boolean isFaulty(long atMs) {
		return atMs >= FAULT_START_MS && atMs < FAULT_END_MS;
	}

}
