package dev.nutmegdoor.core.program;

/**
 * Safeguards that mutation checks switch off to prove that the randomised run notices.
 *
 * @param isEpochChecked whether replicas refuse older epochs
 * @param isIntentFirst whether an intent is durable before the operation is sent
 */
public record Safeguards(boolean isEpochChecked, boolean isIntentFirst) {

	/** All safeguards on, as in every daemon. */
	public static final Safeguards ALL = new Safeguards(true, true);

}
