package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Measures the time of a placement decision on the machine's clock.
 */
final class DecisionCost {

	private static final int MODELS = 35;

	private static final int PROGRAMS = 2_000;

	private static final int WARM_UP_DECISIONS = 20_000;

	private static final int DECISIONS = 50_000;

	private DecisionCost() {
	}

	static ResultRow measure(int replicas) {
		VirtualTimerService timer = new VirtualTimerService(0);
		ReplicaIndex index = new ReplicaIndex(SimulatedCluster.zone(0), 4, PlacementCosts.DEFAULT, timer,
				RandomSource.XO_SHI_RO_256_PP.create(1), EventLog.NONE);
		index.setInstances(Deployment.INSTANCES);
		index.setUpstreams(upstreams(replicas));
		List<String> pools = new ArrayList<>();
		for (int model = 0; model < MODELS; model++) {
			pools.add(ReplicaIndex.poolOf(UpstreamKind.MODEL_ENGINE, "model-" + model));
		}
		for (int program = 0; program < PROGRAMS; program++) {
			Reservation place = index.reserve(new UpstreamId("e-" + program % replicas), 100);
			if (place != null) {
				index.recordAnswer(place, List.of(new PromptPart("program-" + program, 10_000)), 1, 1);
			}
		}
		long startedNs = 0;
		for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
			if (i == WARM_UP_DECISIONS) {
				startedNs = System.nanoTime();
			}
			int program = i % PROGRAMS;
			Placement.decide(index.collect(pools.get(program % replicas % MODELS),
					List.of(new PromptPart("program-" + program, 12_000)), 100, 0, Set.of()));
		}
		double decisionNs = (double) (System.nanoTime() - startedNs) / DECISIONS;
		return new ResultRow("shipped", "replicas_" + replicas, 0, 1, Map.of("decision_ns", decisionNs),
				Map.of("decision_ns", 0.0));
	}

	private static Map<UpstreamId, Upstream> upstreams(int replicas) {
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (int i = 0; i < replicas; i++) {
			UpstreamId id = new UpstreamId("e-" + i);
			upstreams.put(id, new Upstream(id, UpstreamKind.MODEL_ENGINE, SimulatedCluster.zone(i % Deployment.ZONES),
					"127.0.0.1", 1_024, List.of("model-" + i % MODELS), 32, true, false));
		}
		return upstreams;
	}

}
