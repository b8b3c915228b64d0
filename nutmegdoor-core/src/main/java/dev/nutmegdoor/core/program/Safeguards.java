package dev.nutmegdoor.core.program;

/**
 * Safeguards that mutation checks disable to prove that randomised runs detect the
 * resulting faults.
 *
 * @param isEpochChecked whether replicas reject requests with an older epoch
 * @param isIntentFirst whether an intent is durable before the operation is sent
 */
public record Safeguards(boolean isEpochChecked, boolean isIntentFirst) {

	/** All safeguards enabled, as in production. */
	public static final Safeguards ALL = new Safeguards(true, true);

}
