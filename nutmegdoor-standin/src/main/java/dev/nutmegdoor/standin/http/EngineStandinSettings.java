package dev.nutmegdoor.standin.http;

import java.util.List;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.SettingsSection;
import dev.nutmegdoor.standin.engine.EngineSettings;

/**
 * Settings of one engine.
 *
 * @param id identifier of the upstream
 * @param listen address of the engine
 * @param engine properties of the engine
 */
public record EngineStandinSettings(UpstreamId id, ListenSettings listen, EngineSettings engine) {

	static EngineStandinSettings read(SettingsSection section) {
		List<String> models = section.texts("models", "name of a model");
		EngineSettings standard = EngineSettings.large(models);
		return new EngineStandinSettings(section.identifier("id", UpstreamId::new), ListenSettings.read(section),
				new EngineSettings(models, (int) section.integer("maxModels", 1, 100, (long) standard.maxModels()),
						(int) section.integer("maxBatch", 1, 4_096, (long) standard.maxBatch()),
						(int) section.integer("cacheTokens", 0, 1_000_000_000, (long) standard.cacheCapacityTokens()),
						section.decimal("stepMs", 0.1, 10_000, standard.stepBaseMs()),
						section.decimal("stepPerSequenceMs", 0, 1_000, standard.stepPerSequenceMs()),
						section.decimal("prefillPerTokenMs", 0, 1_000, standard.prefillPerTokenMs()),
						(int) section.integer("prefillChunkTokens", 1, 1_000_000, (long) standard.prefillChunkTokens()),
						section.decimal("copyTokensPerMs", 0.01, 1_000_000, standard.copyTokensPerMs()),
						(int) section.integer("longestAnswerTokens", 1, 1_000_000,
								(long) standard.longestAnswerTokens()),
						(int) section.integer("reportPeriodMs", 1, 600_000, (long) standard.reportPeriodMs()),
						(int) section.integer("reportLagMs", 0, 600_000, (long) standard.reportLagMs()),
						(int) section.integer("eventLagMs", 0, 600_000, (long) standard.eventLagMs()),
						section.decimal("eventLossRate", 0, 1, standard.eventLossRate()),
						(int) section.integer("modelLoadMs", 0, 600_000, (long) standard.modelLoadMs()),
						section.flag("isFencingChecked", standard.isFencingChecked())));
	}

}
