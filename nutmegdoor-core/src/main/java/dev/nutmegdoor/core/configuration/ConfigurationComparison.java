package dev.nutmegdoor.core.configuration;

import java.util.List;

/**
 * What changed from one version to another.
 *
 * @param edits replacements and removals of whole items
 * @param differences the same without hashes of secrets, for people
 */
record ConfigurationComparison(List<ConfigurationEdit> edits, List<ConfigurationDifference> differences) {

	ConfigurationComparison {
		edits = List.copyOf(edits);
		differences = List.copyOf(differences);
	}

}
