package dev.nutmegdoor.core.configuration;

import java.util.HashMap;
import java.util.Map;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Mutable collection of the parsed items of one or more shards.
 */
final class ConfigurationItems {

	final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();

	final Map<KeyId, CallerKey> keys = new HashMap<>();

	final Map<String, WorkKind> workKinds = new HashMap<>();

	final Map<String, ServiceOperation> operations = new HashMap<>();

	final Map<UpstreamId, Upstream> upstreams = new HashMap<>();

	final Map<String, String> sheetDates = new HashMap<>();

	void addAll(ConfigurationItems other) {
		this.workspaces.putAll(other.workspaces);
		this.keys.putAll(other.keys);
		this.workKinds.putAll(other.workKinds);
		this.operations.putAll(other.operations);
		this.upstreams.putAll(other.upstreams);
		this.sheetDates.putAll(other.sheetDates);
	}

	Configuration toConfiguration(long version) {
		return new Configuration(version, this.workspaces, this.keys, this.workKinds, this.operations, this.upstreams);
	}

}
