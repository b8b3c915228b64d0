package dev.nutmegdoor.core.conversation;

import java.util.Locale;

/**
 * Reason why a chain could not be read or a turn could not be stored.
 */
public enum ConversationFailure {

	/** Every member has answered and none has the turn. */
	NOT_FOUND,

	/** No member has returned the whole chain, but some may have it. */
	UNCERTAIN,

	/** The chain is longer than the caller accepts. */
	TOO_LARGE,

	/** The process has no memory left for the chain. */
	NO_MEMORY,

	/** Too few members have confirmed the turn in time. Some may have it. */
	NOT_STORED;

	/**
	 * Returns the name for metrics.
	 * @return the name in lower case with hyphens
	 */
	public String metricName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
