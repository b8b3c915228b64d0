package dev.nutmegdoor.core.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;

/**
 * Configuration view of one simulated instance, set directly by the simulation.
 */
public final class FakeConfigurationView implements ConfigurationView {

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private Configuration current;

	public FakeConfigurationView(Configuration current) {
		this.current = current;
	}

	/**
	 * Applies a configuration on this instance and notifies the listeners.
	 * @param configuration configuration that replaces the current one
	 */
	public void set(Configuration configuration) {
		this.current = configuration;
		List.copyOf(this.listeners).forEach((listener) -> listener.accept(configuration));
	}

	@Override
	public Configuration current() {
		return this.current;
	}

	@Override
	public void subscribe(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

}
