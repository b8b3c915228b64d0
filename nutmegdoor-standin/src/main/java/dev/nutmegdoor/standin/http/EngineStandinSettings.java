package dev.nutmegdoor.standin.http;

import java.util.List;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.SettingsSection;

/**
 * Settings of one engine.
 *
 * @param id identifier of the upstream
 * @param listen address of the engine
 * @param models models that the engine serves
 * @param maxBatch streams that generate at the same time
 * @param stepMs duration of a step that generates one token of each stream
 * @param prefillTokensPerMs tokens of a prompt that are prefilled in a millisecond
 * @param cacheTokens tokens of prompt prefixes that fit into memory
 * @param isFencingChecked whether the engine refuses a command with an old fencing number
 */
public record EngineStandinSettings(UpstreamId id, ListenSettings listen, List<String> models, int maxBatch,
		double stepMs, double prefillTokensPerMs, int cacheTokens, boolean isFencingChecked) {

	public EngineStandinSettings {
		models = List.copyOf(models);
	}

	static EngineStandinSettings read(SettingsSection section) {
		return new EngineStandinSettings(section.identifier("id", UpstreamId::new), ListenSettings.read(section),
				section.texts("models", "name of a model"), (int) section.integer("maxBatch", 1, 4_096, 16L),
				section.decimal("stepMs", 0.1, 10_000, 20.0), section.decimal("prefillTokensPerMs", 0.01, 10_000, 8.0),
				(int) section.integer("cacheTokens", 0, 1_000_000_000, 400_000L),
				section.flag("isFencingChecked", true));
	}

}
