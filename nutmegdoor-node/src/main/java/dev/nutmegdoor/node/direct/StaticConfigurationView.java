package dev.nutmegdoor.node.direct;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;

/**
 * Provides a configuration from memory; {@link #replace} applies a newer one.
 */
public final class StaticConfigurationView implements ConfigurationView {

	private final InvariantRegistry invariants;

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private volatile Configuration current;

	public StaticConfigurationView(Configuration configuration, InvariantRegistry invariants) {
		this.current = configuration;
		this.invariants = invariants;
	}

	@Override
	public Configuration current() {
		return this.current;
	}

	@Override
	public void subscribe(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a newer configuration and notifies the subscribers. Called on the control
	 * thread.
	 * @param configuration configuration whose version must be higher than the current
	 * one; otherwise a violation is counted and nothing changes
	 */
	public void replace(Configuration configuration) {
		long currentVersion = this.current.version();
		boolean isNewer = this.invariants.check(Invariant.CONFIGURATION_MONOTONIC,
				configuration.version() > currentVersion,
				() -> "version " + configuration.version() + " was to replace version " + currentVersion);
		if (isNewer) {
			this.current = configuration;
			this.listeners.forEach((listener) -> listener.accept(configuration));
		}
	}

}
