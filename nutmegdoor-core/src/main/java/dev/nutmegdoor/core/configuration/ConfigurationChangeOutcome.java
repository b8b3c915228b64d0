package dev.nutmegdoor.core.configuration;

/**
 * Outcome of a change of the configuration.
 */
public enum ConfigurationChangeOutcome {

	/** The change is committed and applied on this instance. */
	ACCEPTED(true),

	/** The configuration already has the requested content. */
	UNCHANGED(true),

	/** The resulting configuration would be invalid; nothing was changed. */
	INVALID(false),

	/** A conflicting change was committed first; nothing was changed. */
	LOST(false),

	/** The store is unavailable or limits calls; nothing was changed. */
	UNAVAILABLE(false),

	/**
	 * The store failed while the change was written; the history shows whether it was
	 * committed.
	 */
	UNKNOWN(false);

	private final boolean isSuccessful;

	ConfigurationChangeOutcome(boolean isSuccessful) {
		this.isSuccessful = isSuccessful;
	}

	/**
	 * Returns whether the configuration has the requested content.
	 * @return {@code true} for {@link #ACCEPTED} and {@link #UNCHANGED}
	 */
	public boolean isSuccessful() {
		return this.isSuccessful;
	}

}
