package dev.nutmegdoor.node.settings;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;

import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.WorkKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Reads the configuration of a deployment from a YAML file.
 */
public final class ConfigurationReader {

	private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

	private static final int MAX_PRIORITY = 1_000;

	private ConfigurationReader() {
	}

	/**
	 * Reads a configuration.
	 * @param file the file
	 * @return the configuration, as version 1
	 */
	public static Configuration read(SettingsFile file) {
		SettingsSection root = file.root();
		Map<String, WorkKind> workKinds = readAll(root, "workKinds", "name",
				(section) -> new WorkKind(section.text("name", "the name of a kind of work"),
						(int) section.integer("priority", 0, MAX_PRIORITY)),
				WorkKind::name);
		Map<WorkspaceId, Workspace> workspaces = readAll(root, "workspaces", "id",
				(section) -> readWorkspace(section, workKinds), Workspace::id);
		Map<KeyId, CallerKey> keys = readAll(root, "keys", "id", (section) -> readKey(section, workspaces),
				CallerKey::id);
		Map<String, ServiceOperation> operations = readAll(root, "operations", "operation",
				ConfigurationReader::readOperation, ServiceOperation::qualifiedName);
		Map<UpstreamId, Upstream> upstreams = readAll(root, "upstreams", "id", ConfigurationReader::readUpstream,
				Upstream::id);
		return new Configuration(1, workspaces, keys, workKinds, operations, upstreams);
	}

	private static <K, V> Map<K, V> readAll(SettingsSection root, String key, String nameKey,
			Function<SettingsSection, V> reader, Function<V, K> nameOf) {
		Map<K, V> values = new LinkedHashMap<>();
		for (SettingsSection section : root.sections(key)) {
			V value = reader.apply(section);
			if (values.putIfAbsent(nameOf.apply(value), value) != null && section.has(nameKey)) {
				section.reject(nameKey, "a name that occurs once in " + key);
			}
		}
		return values;
	}

	private static Workspace readWorkspace(SettingsSection section, Map<String, WorkKind> workKinds) {
		Map<String, Integer> priorities = section.integers("workPriorities", 0, MAX_PRIORITY);
		if (!workKinds.keySet().containsAll(priorities.keySet())) {
			section.reject("workPriorities", "names listed in workKinds: " + workKinds.keySet());
		}
		return new Workspace(section.identifier("id", WorkspaceId::new),
				section.decimal("ratePerSecond", 0, 1_000_000, null), (int) section.integer("burst", 1, 10_000_000),
				(int) section.integer("weight", 1, 1_000_000, 1L), priorities, readBudget(section.section("budget")));
	}

	private static ProgramBudget readBudget(SettingsSection section) {
		ProgramBudget standard = ProgramBudget.DEFAULT;
		return new ProgramBudget(section.integer("maxTokens", 1, Long.MAX_VALUE, standard.maxTokens()),
				(int) section.integer("maxCalls", 1, Integer.MAX_VALUE, (long) standard.maxCalls()),
				section.integer("maxDurationMs", 1, Long.MAX_VALUE, standard.maxDurationMs()),
				(int) section.integer("maxDepth", 0, 100, (long) standard.maxDepth()));
	}

	private static CallerKey readKey(SettingsSection section, Map<WorkspaceId, Workspace> workspaces) {
		WorkspaceId workspace = section.identifier("workspace", WorkspaceId::new);
		if (!workspaces.containsKey(workspace)) {
			section.reject("workspace", "the id of a workspace listed in workspaces");
		}
		String hash = section.parsed("secretHash", "the SHA-256 of the whole key as 64 lower-case hexadecimal digits",
				(text) -> {
					if (!SHA_256.matcher(text).matches()) {
						throw new IllegalArgumentException("not a SHA-256");
					}
					return text;
				}, "");
		return new CallerKey(section.identifier("id", KeyId::new), workspace, hash);
	}

	private static ServiceOperation readOperation(SettingsSection section) {
		return new ServiceOperation(section.identifier("service", UpstreamId::new).value(),
				section.identifier("operation", UpstreamId::new).value(),
				section.constant("repeatability", Repeatability.class), section.flag("isQueryable", false));
	}

	private static Upstream readUpstream(SettingsSection section) {
		return new Upstream(section.identifier("id", UpstreamId::new), section.constant("kind", UpstreamKind.class),
				section.identifier("zone", AvailabilityZone::new), ListenSettings.readHost(section),
				section.port("port"), section.texts("serves", "name of a model or service"),
				(int) section.integer("maxConcurrentCalls", 1, 100_000), section.flag("isFencingChecked", true),
				section.flag("isLeaving", false));
	}

}
