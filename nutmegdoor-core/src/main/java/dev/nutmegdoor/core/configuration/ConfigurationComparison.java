package dev.nutmegdoor.core.configuration;

import java.util.List;

/**
 * Changes from one version to another.
 *
 * @param edits replacements and removals of complete items, as sent to peers
 * @param differences the same changes without hashes of secrets, as shown to operators
 */
record ConfigurationComparison(List<ConfigurationEdit> edits, List<ConfigurationDifference> differences) {

	ConfigurationComparison {
		edits = List.copyOf(edits);
		differences = List.copyOf(differences);
	}

}
