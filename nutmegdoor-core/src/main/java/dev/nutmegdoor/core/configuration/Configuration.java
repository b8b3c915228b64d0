package dev.nutmegdoor.core.configuration;

import java.util.Map;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * One version of the configuration of a deployment.
 *
 * @param version version number, increased by one with each accepted change; 0 is the
 * empty configuration
 * @param workspaces workspaces by identifier
 * @param keys callers' keys by identifier
 * @param workKinds kinds of work by name
 * @param operations operations by {@link ServiceOperation#qualifiedName()}
 * @param upstreams upstreams by identifier
 */
public record Configuration(long version, Map<WorkspaceId, Workspace> workspaces, Map<KeyId, CallerKey> keys,
		Map<String, WorkKind> workKinds, Map<String, ServiceOperation> operations,
		Map<UpstreamId, Upstream> upstreams) {

	/** Configuration of a deployment before its first change. */
	public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

	public Configuration {
		workspaces = Map.copyOf(workspaces);
		keys = Map.copyOf(keys);
		workKinds = Map.copyOf(workKinds);
		operations = Map.copyOf(operations);
		upstreams = Map.copyOf(upstreams);
	}

}
