package dev.nutmegdoor.experiment.soak;

import java.util.EnumSet;
import java.util.Set;

import dev.nutmegdoor.core.program.Safeguards;

/**
 * Settings of a randomised run.
 *
 * @param seed seed of everything random
 * @param steps number of steps
 * @param faults kinds of faults to cause
 * @param safeguards safeguards that are on
 */
public record SoakSettings(long seed, int steps, Set<FaultKind> faults, Safeguards safeguards) {

	public SoakSettings {
		faults = faults.isEmpty() ? EnumSet.noneOf(FaultKind.class) : EnumSet.copyOf(faults);
	}

	/**
	 * Returns settings with all faults and all safeguards.
	 * @param seed seed
	 * @param steps number of steps
	 * @return the settings
	 */
	public static SoakSettings all(long seed, int steps) {
		return new SoakSettings(seed, steps, FaultKind.all(), Safeguards.ALL);
	}

}
