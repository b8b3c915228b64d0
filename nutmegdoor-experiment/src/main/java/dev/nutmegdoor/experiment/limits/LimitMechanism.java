package dev.nutmegdoor.experiment.limits;

import java.util.Locale;

/**
 * Ways to limit rates across instances.
 */
public enum LimitMechanism {

	/** Each instance has an equal part of rate and burst, at least one token. */
	STATIC_SPLIT,

	/** One instance has the whole bucket of each workspace; all others ask it. */
	CENTRAL_BUCKET,

	/** The mechanism of the product. */
	SHIPPED;

	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
