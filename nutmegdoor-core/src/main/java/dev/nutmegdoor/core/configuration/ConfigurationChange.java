package dev.nutmegdoor.core.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Change of the configuration that an operator asks for. It is accepted or rejected as a
 * whole.
 *
 * @param author who asks
 * @param reason why, for the history
 * @param expectedVersion version that the operator has seen; if another one is in force,
 * the change is rejected. {@code null} if the change is valid on any version on which its
 * items haven't changed meanwhile
 * @param edits changes of items, at most one for each item
 */
public record ConfigurationChange(String author, String reason, @Nullable Long expectedVersion,
		List<ConfigurationEdit> edits) {

	public ConfigurationChange {
		edits = List.copyOf(edits);
	}

}
