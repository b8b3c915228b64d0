package dev.nutmegdoor.core.configuration;

/**
 * Outcome of a change of the configuration.
 */
public enum ConfigurationChangeOutcome {

	/** The change is committed and in force on this instance. */
	ACCEPTED(true),

	/** The configuration already is as asked for. */
	UNCHANGED(true),

	/** The result would be wrong; nothing was changed. */
	INVALID(false),

	/** Another change came first; nothing was changed. */
	LOST(false),

	/** The store is out or limits calls; nothing was changed. */
	UNAVAILABLE(false),

	/**
	 * The store failed after the change was sent; the history shows whether it took
	 * effect.
	 */
	UNKNOWN(false);

	private final boolean isSuccessful;

	ConfigurationChangeOutcome(boolean isSuccessful) {
		this.isSuccessful = isSuccessful;
	}

	/**
	 * Returns whether the configuration is as asked for.
	 * @return {@code true} if it is
	 */
	public boolean isSuccessful() {
		return this.isSuccessful;
	}

}
