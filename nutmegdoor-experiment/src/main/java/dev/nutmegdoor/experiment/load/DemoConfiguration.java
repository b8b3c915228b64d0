package dev.nutmegdoor.experiment.load;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

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
import dev.nutmegdoor.node.direct.ConfiguredKeyAuthenticator;

/**
 * Builds the configuration of a demonstration.
 */
final class DemoConfiguration {

	static final List<AvailabilityZone> ZONES = List.of(new AvailabilityZone("a"), new AvailabilityZone("b"),
			new AvailabilityZone("c"));

	/** Rates of the eight workspaces; three of them are large. */
	private static final double[] RATES = { 40, 40, 25, 10, 6, 6, 4, 4 };

	private static final int[] WEIGHTS = { 4, 4, 3, 2, 1, 1, 1, 1 };

	private static final int BURST_SECONDS = 2;

	static final int ENGINES = 6;

	private static final int CALLS_PER_ENGINE = 32;

	private static final int CALLS_PER_SERVICE = 32;

	private DemoConfiguration() {
	}

	static List<DemoWorkspace> workspaces(UniformRandomProvider random) {
		DemoWorkspace[] workspaces = new DemoWorkspace[RATES.length];
		for (int i = 0; i < workspaces.length; i++) {
			WorkspaceId id = new WorkspaceId("workspace-" + (i + 1));
			String key = "nd_" + id + "-1_" + Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
			workspaces[i] = new DemoWorkspace(id, RATES[i], (int) (BURST_SECONDS * RATES[i]), WEIGHTS[i], key);
		}
		return List.of(workspaces);
	}

	static Configuration create(DemoDeployment deployment, List<DemoWorkspace> workspaces,
			List<InetSocketAddress> engines, List<InetSocketAddress> services) {
		Map<WorkspaceId, Workspace> workspaceMap = new HashMap<>();
		Map<KeyId, CallerKey> keys = new HashMap<>();
		for (DemoWorkspace workspace : workspaces) {
			workspaceMap.put(workspace.id(), new Workspace(workspace.id(), workspace.ratePerSecond(), workspace.burst(),
					workspace.weight(), Map.of(), ProgramBudget.DEFAULT));
			keys.put(workspace.keyId(),
					new CallerKey(workspace.keyId(), workspace.id(), ConfiguredKeyAuthenticator.hash(workspace.key())));
		}
		Map<String, WorkKind> workKinds = new HashMap<>();
		deployment.workKinds().forEach((kind) -> workKinds.put(kind.name(), kind));
		Map<String, ServiceOperation> operations = new HashMap<>();
		for (OperationShape shape : deployment.operations()) {
			ServiceOperation operation = new ServiceOperation(shape.service(), shape.operation(), shape.repeatability(),
					shape.isAtMostOnce());
			operations.put(operation.qualifiedName(), operation);
		}
		Map<UpstreamId, Upstream> upstreams = new HashMap<>();
		addUpstreams(upstreams, UpstreamKind.MODEL_ENGINE, "engine-", engines, List.of(deployment.model()),
				CALLS_PER_ENGINE);
		addUpstreams(upstreams, UpstreamKind.SERVICE, "service-", services, services(deployment), CALLS_PER_SERVICE);
		return new Configuration(1, workspaceMap, keys, workKinds, operations, upstreams);
	}

	static List<String> services(DemoDeployment deployment) {
		return deployment.operations().stream().map(OperationShape::service).distinct().toList();
	}

	private static void addUpstreams(Map<UpstreamId, Upstream> upstreams, UpstreamKind kind, String prefix,
			List<InetSocketAddress> addresses, List<String> serves, int maxCalls) {
		for (int i = 0; i < addresses.size(); i++) {
			UpstreamId id = new UpstreamId(prefix + (i + 1));
			upstreams.put(id,
					new Upstream(id, kind, ZONES.get(i % ZONES.size()), addresses.get(i).getAddress().getHostAddress(),
							addresses.get(i).getPort(), serves, maxCalls, true, false));
		}
	}

	/**
	 * Returns the next version of a configuration, in which an upstream is leaving.
	 * @param current the configuration
	 * @param id the upstream
	 * @return the changed configuration
	 */
	static Configuration withLeaving(Configuration current, UpstreamId id) {
		Map<UpstreamId, Upstream> upstreams = new HashMap<>(current.upstreams());
		upstreams.computeIfPresent(id, (key, old) -> new Upstream(id, old.kind(), old.availabilityZone(), old.host(),
				old.port(), old.serves(), old.maxConcurrentCalls(), old.isFencingChecked(), true));
		return new Configuration(current.version() + 1, current.workspaces(), current.keys(), current.workKinds(),
				current.operations(), upstreams);
	}

}
