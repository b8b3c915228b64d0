package dev.nutmegdoor.core.configuration;

import java.util.List;

/**
 * Result of a change of the configuration.
 *
 * @param outcome whether the change was committed, or why not
 * @param changeId identifier of the change in the history
 * @param version version of the configuration after the attempt, 0 if unknown
 * @param errors invalid values, for {@link ConfigurationChangeOutcome#INVALID}
 * @param differences changed items; for {@link ConfigurationChangeOutcome#LOST} the items
 * that other changes modified since the version on which this change is based
 */
public record ConfigurationChangeResult(ConfigurationChangeOutcome outcome, String changeId, long version,
		List<ConfigurationError> errors, List<ConfigurationDifference> differences) {

	public ConfigurationChangeResult {
		errors = List.copyOf(errors);
		differences = List.copyOf(differences);
	}

	static ConfigurationChangeResult of(ConfigurationChangeOutcome outcome, String changeId, long version,
			List<ConfigurationDifference> differences) {
		return new ConfigurationChangeResult(outcome, changeId, version, List.of(), differences);
	}

}
