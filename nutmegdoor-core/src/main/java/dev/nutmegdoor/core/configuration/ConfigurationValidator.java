package dev.nutmegdoor.core.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * Validates a complete configuration and reports all of its errors.
 */
final class ConfigurationValidator {

	private ConfigurationValidator() {
	}

	static List<ConfigurationError> validate(ConfigurationDocument document, List<ConfigurationEdit> edits) {
		List<ConfigurationError> errors = new ArrayList<>(document.errors());
		for (ConfigurationEdit edit : edits) {
			if (ConfigurationSection.find(edit.section()) == null) {
				errors.add(new ConfigurationError(edit.path(), edit.section(),
						"a section out of " + List.of(ConfigurationSection.values())));
			}
		}
		for (int i = 0; i < document.shards().size(); i++) {
			int sizeBytes = document.shards().get(i).sizeBytes();
			if (sizeBytes > ConfigurationShard.MAX_BYTES) {
				errors.add(new ConfigurationError("shard " + i, sizeBytes + " bytes",
						"at most " + ConfigurationShard.MAX_BYTES + " bytes"));
			}
		}
		addReferenceErrors(document.configuration(), errors);
		return errors;
	}

	private static void addReferenceErrors(Configuration configuration, List<ConfigurationError> errors) {
		// An item with an error is missing from the configuration; references to it are
		// not reported as errors.
		List<String> invalidPaths = errors.stream().map(ConfigurationError::path).toList();
		configuration.keys().forEach((id, key) -> {
			if (!configuration.workspaces().containsKey(key.workspace())
					&& !isInvalid("workspaces/" + key.workspace(), invalidPaths)) {
				errors.add(new ConfigurationError("keys/" + id + "/workspace", key.workspace().value(),
						"an existing workspace"));
			}
		});
		configuration.workspaces().forEach((id, workspace) -> workspace.workPriorities().keySet().forEach((kind) -> {
			if (!configuration.workKinds().containsKey(kind) && !isInvalid("workKinds/" + kind, invalidPaths)) {
				errors.add(new ConfigurationError("workspaces/" + id + "/workPriorities", kind,
						"a kind of work out of " + configuration.workKinds().keySet().stream().sorted().toList()));
			}
		}));
	}

	private static boolean isInvalid(String itemPath, List<String> invalidPaths) {
		return invalidPaths.stream().anyMatch((path) -> path.equals(itemPath) || path.startsWith(itemPath + "/"));
	}

}
