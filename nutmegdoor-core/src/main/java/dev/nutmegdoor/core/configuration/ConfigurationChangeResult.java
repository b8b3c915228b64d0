package dev.nutmegdoor.core.configuration;

import java.util.List;

/**
 * Answer to a change of the configuration.
 *
 * @param outcome the outcome
 * @param changeId identifier of the change in the history
 * @param version version of the configuration after the attempt, 0 if unknown
 * @param errors what is wrong, for {@link ConfigurationChangeOutcome#INVALID}
 * @param differences what was changed, or for {@link ConfigurationChangeOutcome#LOST}
 * what others changed since the version that the operator has seen
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
