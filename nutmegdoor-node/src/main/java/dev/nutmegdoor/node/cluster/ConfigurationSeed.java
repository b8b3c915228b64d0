package dev.nutmegdoor.node.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationChange;
import dev.nutmegdoor.core.configuration.ConfigurationController;
import dev.nutmegdoor.core.configuration.ConfigurationEdit;
import dev.nutmegdoor.core.configuration.ConfigurationSection;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;

/**
 * Commits the configuration of the settings as the first version of a deployment that has
 * none yet. All instances may try; the conditional update lets one win.
 */
final class ConfigurationSeed {

	private final Configuration seed;

	private final EventLog events;

	ConfigurationSeed(Configuration seed, EventLog events) {
		this.seed = seed;
		this.events = events;
	}

	void commitIfEmpty(ConfigurationController controller) {
		List<ConfigurationEdit> edits = edits();
		if (controller.version() > 0 || edits.isEmpty()) {
			return;
		}
		controller.change(new ConfigurationChange("settings", "first version from the settings file", 0L, edits))
			.thenAccept((result) -> this.events.record("configuration.seeded", "outcome", result.outcome(), "version",
					result.version()));
	}

	private List<ConfigurationEdit> edits() {
		List<ConfigurationEdit> edits = new ArrayList<>();
		this.seed.workKinds()
			.values()
			.forEach((kind) -> edits.add(ConfigurationEdit.merge(ConfigurationSection.WORK_KINDS, kind.name(),
					Map.of("priority", kind.priority()))));
		this.seed.workspaces().values().forEach((workspace) -> edits.add(edit(workspace)));
		this.seed.keys().values().forEach((key) -> edits.add(edit(key)));
		this.seed.operations().values().forEach((operation) -> edits.add(edit(operation)));
		this.seed.upstreams().values().forEach((upstream) -> edits.add(edit(upstream)));
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
				Map.of("repeatability", operation.repeatability().name(), "queryable", operation.isQueryable()));
	}

	private static ConfigurationEdit edit(Upstream upstream) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("kind", upstream.kind().name());
		fields.put("availabilityZone", upstream.availabilityZone().value());
		fields.put("host", upstream.host());
		fields.put("port", upstream.port());
		fields.put("serves", upstream.serves());
		fields.put("maxConcurrentCalls", upstream.maxConcurrentCalls());
		fields.put("fencingChecked", upstream.isFencingChecked());
		fields.put("leaving", upstream.isLeaving());
		return ConfigurationEdit.merge(ConfigurationSection.UPSTREAMS, upstream.id().value(), fields);
	}

}
