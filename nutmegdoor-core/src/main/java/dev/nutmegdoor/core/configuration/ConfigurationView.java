package dev.nutmegdoor.core.configuration;

import java.util.function.Consumer;

/**
 * The configuration in force on this instance.
 */
public interface ConfigurationView {

	/**
	 * Returns the configuration in force; may be called from any thread.
	 * @return the newest accepted version that this instance knows
	 */
	Configuration current();

	/**
	 * Registers a listener for new versions, called on the control thread after
	 * {@link #current()} returns the new version.
	 * @param listener receives the new configuration
	 */
	void subscribe(Consumer<Configuration> listener);

}
