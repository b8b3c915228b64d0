package dev.nutmegdoor.node.cluster;

import java.util.List;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.event.EventLog;

/**
 * Commits the configuration from the settings file as the first version of a deployment
 * that has none. Several instances may try concurrently; the conditional update accepts
 * only one of them.
 */
final class ConfigurationSeed {

	private final Configuration seed;

	private final EventLog events;

	ConfigurationSeed(Configuration seed, EventLog events) {
		this.seed = seed;
		this.events = events;
	}

	void commitIfEmpty(ConfigurationController controller) {
		List<ConfigurationEdit> edits = ConfigurationEdits.of(this.seed);
		if (controller.version() > 0 || edits.isEmpty()) {
			return;
		}
		controller.change(new ConfigurationChange("settings", "first version from the settings file", 0L, edits))
			.thenAccept((result) -> this.events.record("configuration.seeded", "outcome", result.outcome(), "version",
					result.version(), "errors", result.errors()));
	}

}
