package dev.nutmegdoor.node.operator.service;

import java.util.List;

import dev.nutmegdoor.core.configuration.ConfigurationChangeOutcome;
import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;
import dev.nutmegdoor.core.configuration.ConfigurationDifference;

/**
 * Answer to a change of the configuration as operators see it.
 *
 * @param outcome the outcome
 * @param isFailed whether the configuration is not as asked for
 * @param changeId identifier of the change in the history
 * @param version version after the attempt, 0 if unknown
 * @param errors what is wrong
 * @param differences what was changed, or what others changed if the change was lost
 */
public record ChangeAnswer(ConfigurationChangeOutcome outcome, boolean isFailed, String changeId, long version,
		List<String> errors, List<ConfigurationDifference> differences) {

	public ChangeAnswer {
		errors = List.copyOf(errors);
		differences = List.copyOf(differences);
	}

	static ChangeAnswer of(ConfigurationChangeResult result) {
		return new ChangeAnswer(result.outcome(), !result.outcome().isSuccessful(), result.changeId(), result.version(),
				result.errors().stream().map(Object::toString).toList(), result.differences());
	}

}
