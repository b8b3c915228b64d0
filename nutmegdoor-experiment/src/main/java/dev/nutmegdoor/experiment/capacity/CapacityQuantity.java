package dev.nutmegdoor.experiment.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionLog;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Costs whose growth is measured, with what they grow with.
 */
public enum CapacityQuantity {

	/** Messages that a node sends for control. */
	CONTROL_MESSAGES("messages/s a node", CapacityDriver.NODES) {

		@Override
		double measure(int size) {
			return FleetCost.of(size).messagesPerSecond();
		}

	},

	/** Bytes that a node sends for control. */
	CONTROL_BYTES("B/s a node", CapacityDriver.NODES) {

		@Override
		double measure(int size) {
			return FleetCost.of(size).bytesPerSecond();
		}

	},

	/** Processor time of a node for control. */
	CONTROL_PROCESSOR("% of a core a node", CapacityDriver.NODES) {

		@Override
		double measure(int size) {
			return 100 * FleetCost.of(size).coreShare();
		}

	},

	/** Calls to the platform by all nodes. */
	STORE_CALLS("calls/s in all", CapacityDriver.NODES) {

		@Override
		double measure(int size) {
			return FleetCost.of(size).storeCallsPerSecond();
		}

	},

	/** Writes to the platform by all nodes. */
	STORE_WRITES("writes/s in all", CapacityDriver.NODES) {

		@Override
		double measure(int size) {
			return FleetCost.of(size).storeWritesPerSecond();
		}

	},

	/** Memory of a node for the configuration, with two keys a workspace. */
	CONFIGURATION_MEMORY("MB a node", CapacityDriver.WORKSPACES) {

		@Override
		double measure(int size) {
			return HeapCost.bytesOf(() -> configuration(size, 0)) / MEGABYTE;
		}

	},

	/** Time to decide the placement of a call. */
	PLACEMENT_TIME("µs a decision", CapacityDriver.REPLICAS) {

		@Override
		double measure(int size) {
			ReplicaIndex index = index(size);
			List<PlacementInput> inputs = new ArrayList<>();
			long startNs = 0;
			double sink = 0;
			for (int i = 0; i < WARM_UP + MEASURED; i++) {
				if (i == WARM_UP) {
					startNs = System.nanoTime();
				}
				PlacementInput input = index.collect("model:m-" + i % MODELS,
						List.of(new PromptPart("program-" + i, 8_000)), 400, 0, Set.of());
				sink += Placement.decide(input).hashCode();
				if (inputs.isEmpty()) {
					inputs.add(input);
				}
			}
			double elapsedNs = System.nanoTime() - startNs;
			if (Double.isNaN(sink)) {
				throw new IllegalStateException("no decision was made");
			}
			return elapsedNs / MEASURED / 1_000;
		}

	},

	/** Time to record a placement decision. */
	RECORD_TIME("µs a record", CapacityDriver.REPLICAS) {

		@Override
		double measure(int size) {
			DecisionIds ids = new DecisionIds(new InstanceId("i-1"));
			DecisionLog log = new DecisionLog(ids, 8_000_000);
			PlacementInput input = index(size).collect("model:m-1", List.of(new PromptPart("program-1", 8_000)), 400, 0,
					Set.of());
			Object decision = Placement.decide(input);
			long startNs = 0;
			for (int i = 0; i < WARM_UP + MEASURED; i++) {
				if (i == WARM_UP) {
					startNs = System.nanoTime();
				}
				log.record(new DecisionRecord(ids.next(), DecisionKind.PLACEMENT, 0, new WorkspaceId("w-1"), false,
						"rule", input, decision, List.of(), ""));
			}
			return (System.nanoTime() - startNs) / (double) MEASURED / 1_000;
		}

	};

	private static final double MEGABYTE = 1_000_000;

	private static final int MODELS = 35;

	private static final int WARM_UP = 20_000;

	private static final int MEASURED = 20_000;

	private final String unit;

	private final CapacityDriver driver;

	CapacityQuantity(String unit, CapacityDriver driver) {
		this.unit = unit;
		this.driver = driver;
	}

	abstract double measure(int size);

	CapacityRow row() {
		List<CapacityPoint> points = new ArrayList<>();
		for (int size : this.driver.sizes()) {
			points.add(new CapacityPoint(size, measure(size)));
		}
		LinearFit fit = LinearFit.of(points);
		return new CapacityRow(name(), this.unit, this.driver.displayName(), points, fit, this.driver.targetSize(),
				fit.at(this.driver.targetSize()));
	}

	private static Configuration configuration(int workspaces, int replicas) {
		Map<WorkspaceId, Workspace> byId = new HashMap<>();
		Map<KeyId, CallerKey> keys = new HashMap<>();
		for (int i = 0; i < workspaces; i++) {
			WorkspaceId id = new WorkspaceId("workspace-" + i);
			byId.put(id, new Workspace(id, 1 + i % 50, 5, 1, Map.of("quote", 0, "lookup", 5),
					new ProgramBudget(6_050_000 + i, 1_000, 86_400_000, 4)));
			for (int k = 0; k < 2; k++) {
				KeyId key = new KeyId("key-" + i + "-" + k);
				keys.put(key, new CallerKey(key, id, Integer.toHexString(i).repeat(64).substring(0, 64)));
			}
		}
		Map<UpstreamId, Upstream> upstreams = new HashMap<>();
		for (int i = 0; i < replicas; i++) {
			UpstreamId id = new UpstreamId("engine-" + i);
			upstreams.put(id, new Upstream(id, UpstreamKind.MODEL_ENGINE, new AvailabilityZone("z-" + i % 6),
					"127.0.0.1", 9_000, List.of("m-" + i % MODELS), 64, true, false));
		}
		return new Configuration(1, byId, keys, Map.of(), Map.of(), upstreams);
	}

	private static ReplicaIndex index(int replicas) {
		ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("z-0"), 5, PlacementCosts.DEFAULT,
				new VirtualTimerService(0), RandomSource.XO_SHI_RO_256_PP.create(1), EventLog.NONE);
		index.setUpstreams(configuration(0, replicas).upstreams());
		return index;
	}

}
