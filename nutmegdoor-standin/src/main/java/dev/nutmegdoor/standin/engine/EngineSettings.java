package dev.nutmegdoor.standin.engine;

import java.util.List;

/**
 * Properties of a modelled engine.
 *
 * @param models models loaded at the start
 * @param maxModels models that fit into memory at once
 * @param maxBatch sequences that run at once
 * @param cacheCapacityTokens tokens that fit into cache memory
 * @param stepBaseMs time of a step without sequences in milliseconds
 * @param stepPerSequenceMs additional time for each decoding sequence in milliseconds
 * @param prefillPerTokenMs additional time for each prefilled token in milliseconds
 * @param prefillChunkTokens most tokens prefilled in one step
 * @param copyTokensPerMs tokens imported in a millisecond
 * @param longestAnswerTokens longest answer in tokens
 * @param reportPeriodMs time between two measurements of load in milliseconds
 * @param reportLagMs age of a measurement when it becomes visible in milliseconds
 * @param eventLagMs age of a cache event when it becomes visible in milliseconds
 * @param eventLossRate share of cache events that never become visible, 0 to 1
 * @param modelLoadMs time to load a model in milliseconds
 * @param isFencingChecked whether an order with an old fencing number is refused
 */
public record EngineSettings(List<String> models, int maxModels, int maxBatch, int cacheCapacityTokens,
		double stepBaseMs, double stepPerSequenceMs, double prefillPerTokenMs, int prefillChunkTokens,
		double copyTokensPerMs, int longestAnswerTokens, int reportPeriodMs, int reportLagMs, int eventLagMs,
		double eventLossRate, int modelLoadMs, boolean isFencingChecked) {

	public EngineSettings {
		models = List.copyOf(models);
	}

	/**
	 * Returns settings of a large engine. A step is dominated by reading the weights, so
	 * its base time is large against the time for each sequence.
	 * @param models models loaded at the start
	 * @return the settings
	 */
	public static EngineSettings large(List<String> models) {
		return new EngineSettings(models, 2, 32, 600_000, 24, 0.15, 0.03, 512, 200, 4_096, 250, 400, 800, 0.02, 20_000,
				true);
	}

	public EngineSettings withFencingChecked(boolean isChecked) {
		return new EngineSettings(this.models, this.maxModels, this.maxBatch, this.cacheCapacityTokens, this.stepBaseMs,
				this.stepPerSequenceMs, this.prefillPerTokenMs, this.prefillChunkTokens, this.copyTokensPerMs,
				this.longestAnswerTokens, this.reportPeriodMs, this.reportLagMs, this.eventLagMs, this.eventLossRate,
				this.modelLoadMs, isChecked);
	}

	/**
	 * Returns the settings with other lags.
	 * @param periodMs time between two measurements of load in milliseconds
	 * @param reportMs age of a visible measurement in milliseconds
	 * @param eventMs age of a visible cache event in milliseconds
	 * @param lossRate share of cache events lost, 0 to 1
	 * @return the changed settings
	 */
	public EngineSettings withLags(int periodMs, int reportMs, int eventMs, double lossRate) {
		return new EngineSettings(this.models, this.maxModels, this.maxBatch, this.cacheCapacityTokens, this.stepBaseMs,
				this.stepPerSequenceMs, this.prefillPerTokenMs, this.prefillChunkTokens, this.copyTokensPerMs,
				this.longestAnswerTokens, periodMs, reportMs, eventMs, lossRate, this.modelLoadMs,
				this.isFencingChecked);
	}

}
