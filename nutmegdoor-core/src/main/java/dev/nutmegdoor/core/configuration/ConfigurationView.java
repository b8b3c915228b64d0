package dev.nutmegdoor.core.configuration;

import java.util.function.Consumer;

/**
 * Provides the active configuration of this instance.
 */
public interface ConfigurationView {

	/**
	 * Returns the active configuration; may be called from any thread.
	 * @return the newest version that this instance has applied
	 */
	Configuration current();

	/**
	 * Registers a listener for new versions.
	 * @param listener called with the new configuration on the control thread, after
	 * {@link #current()} returns it
	 */
	void subscribe(Consumer<Configuration> listener);

}
