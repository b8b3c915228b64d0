package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.Workspace;

/**
 * Converts a complete configuration to edits.
 */
final class ConfigurationEdits {

	private ConfigurationEdits() {
	}

	/**
	 * Returns the edits that set every item of a configuration.
	 * @param configuration items to set
	 * @return one merging edit for each item; none of them deletes an item
	 */
	static List<ConfigurationEdit> of(Configuration configuration) {
		List<ConfigurationEdit> edits = new ArrayList<>();
		configuration.workKinds()
			.values()
			.forEach((kind) -> edits.add(ConfigurationEdit.merge(ConfigurationSection.WORK_KINDS, kind.name(),
					Map.of("priority", kind.priority()))));
		configuration.workspaces().values().forEach((workspace) -> edits.add(edit(workspace)));
		configuration.keys().values().forEach((key) -> edits.add(edit(key)));
		configuration.operations().values().forEach((operation) -> edits.add(edit(operation)));
		configuration.upstreams().values().forEach((upstream) -> edits.add(edit(upstream)));
		return edits;
	}

	private static ConfigurationEdit edit(Workspace workspace) {
		ProgramBudget budget = workspace.budget();
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("ratePerSecond", workspace.ratePerSecond());
		fields.put("burst", workspace.burst());
		fields.put("weight", workspace.weight());
		fields.put("workPriorities", workspace.workPriorities());
		fields.put("budget", Map.of("maxTokens", budget.maxTokens(), "maxCalls", budget.maxCalls(), "maxDurationMs",
				budget.maxDurationMs(), "maxDepth", budget.maxDepth()));
		return ConfigurationEdit.merge(ConfigurationSection.WORKSPACES, workspace.id().value(), fields);
	}

	private static ConfigurationEdit edit(CallerKey key) {
		return ConfigurationEdit.merge(ConfigurationSection.KEYS, key.id().value(),
				Map.of("workspace", key.workspace().value(), "secretHash", key.secretHash()));
	}

	private static ConfigurationEdit edit(ServiceOperation operation) {
		return ConfigurationEdit.merge(ConfigurationSection.OPERATIONS, operation.qualifiedName(),
				Map.of("repeatability", operation.repeatability().name(), "isQueryable", operation.isQueryable()));
	}

	private static ConfigurationEdit edit(Upstream upstream) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("kind", upstream.kind().name());
		fields.put("zone", upstream.availabilityZone().value());
		fields.put("host", upstream.host());
		fields.put("port", upstream.port());
		fields.put("serves", upstream.serves());
		fields.put("maxConcurrentCalls", upstream.maxConcurrentCalls());
		fields.put("isFencingChecked", upstream.isFencingChecked());
		fields.put("isLeaving", upstream.isLeaving());
		return ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, upstream.id().value(), fields);
	}

}
