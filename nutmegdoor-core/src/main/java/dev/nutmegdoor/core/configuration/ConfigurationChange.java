package dev.nutmegdoor.core.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Change of the configuration that an operator requests. All of its edits are committed
 * atomically, or none.
 *
 * @param author operator that requests the change
 * @param reason free text for the history
 * @param expectedVersion version on which the change is based; the change is rejected if
 * the store contains another version. {@code null} to accept any version on which the
 * edited items have not changed since the commit started
 * @param edits changes of items, at most one for each item
 */
public record ConfigurationChange(String author, String reason, @Nullable Long expectedVersion,
		List<ConfigurationEdit> edits) {

	public ConfigurationChange {
		edits = List.copyOf(edits);
	}

}
