package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ScheduleSettings;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;
import dev.nutmegdoor.standin.engine.EngineModel;

/**
 * The shipped scheduler: independent instances that poll engines and exchange in-flight
 * counts, or one instance that knows everything at once.
 */
final class ScheduledRun implements PolicyRun {

	private static final int HEARTBEAT_MS = 1_000;

	private static final int POLL_MS = 250;

	private static final int PERFECT_POLL_MS = 20;

	private final SimulatedCluster cluster;

	private final List<ReplicaIndex> indexes = new ArrayList<>();

	private final List<ScheduledCallRunner> runners = new ArrayList<>();

	private final List<Map<UpstreamId, Integer>> heartbeats = new ArrayList<>();

	private final long[] heartbeatAtMs;

	private long controlMessages;

	ScheduledRun(SimulatedCluster cluster, ProgramRegistry programs, int instances, long seed) {
		this.cluster = cluster;
		this.heartbeatAtMs = new long[instances];
		PlacementCosts costs = PlacementCosts.DEFAULT;
		InvariantRegistry invariants = new InvariantRegistry();
		for (int i = 0; i < instances; i++) {
			int zone = (instances == 1) ? -1 : i % Deployment.ZONES;
			ReplicaIndex index = new ReplicaIndex(SimulatedCluster.zone(Math.max(0, zone)),
					(zone < 0) ? 0 : cluster.deployment.zoneCrossingMs(), costs, cluster.timer,
					RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + i), EventLog.NONE);
			index.setInstances(instances);
			this.indexes.add(index);
			this.heartbeats.add(Map.of());
			UpstreamClients ports = new UpstreamClients(new SimulatedEngineClient(cluster, zone),
					new RejectingServiceClient(), (program, call) -> List.of());
			this.runners.add(new ScheduledCallRunner(ScheduleSettings.DEFAULT, costs, index, cluster.timer, cluster,
					ports, programs, new Observers(DecisionRecorder.NONE, invariants, StepListener.NONE)));
			int instance = i;
			int pollMs = (instances == 1) ? PERFECT_POLL_MS : POLL_MS;
			// Instances poll at different times, as processes that started at different
			// times do.
			cluster.timer.schedule(i * 27L, () -> {
				cluster.timer.subscribe(pollMs, () -> poll(instance, zone));
				if (instances > 1) {
					cluster.timer.subscribe(HEARTBEAT_MS, () -> heartbeat(instance));
				}
			});
		}
	}

	@Override
	public CallRunner runnerOf(ProgramId root) {
		return this.runners.get(Math.floorMod(root.hashCode(), this.runners.size()));
	}

	@Override
	public void programEnded(ProgramId root, ProgramId program) {
		this.runners.get(Math.floorMod(root.hashCode(), this.runners.size())).programEnded(program);
	}

	@Override
	public long controlMessages() {
		return this.controlMessages;
	}

	private void poll(int instance, int zone) {
		ScheduledCallRunner runner = this.runners.get(instance);
		for (Upstream upstream : this.cluster.upstreams()) {
			this.controlMessages++;
			if (!this.cluster.isReachable(zone, upstream)) {
				continue;
			}
			EngineModel engine = this.cluster.engine(upstream.id());
			runner.reportReceived(upstream.id(), (zone < 0) ? engine.currentLoad() : engine.report());
			runner.eventsReceived(upstream.id(),
					engine.events(this.indexes.get(instance).lastEventSequence(upstream.id())));
		}
	}

	private void heartbeat(int sender) {
		this.heartbeats.set(sender, this.indexes.get(sender).inFlight());
		long nowMs = this.cluster.timer.nowMs();
		this.heartbeatAtMs[sender] = nowMs;
		for (int receiver = 0; receiver < this.runners.size(); receiver++) {
			if (receiver == sender) {
				continue;
			}
			this.controlMessages++;
			for (Upstream upstream : this.cluster.upstreams()) {
				sumPeers(receiver, upstream.id(), nowMs);
			}
		}
	}

	private void sumPeers(int receiver, UpstreamId id, long nowMs) {
		int calls = 0;
		long oldestMs = nowMs;
		for (int peer = 0; peer < this.runners.size(); peer++) {
			if (peer != receiver) {
				calls += this.heartbeats.get(peer).getOrDefault(id, 0);
				oldestMs = Math.min(oldestMs, this.heartbeatAtMs[peer]);
			}
		}
		this.indexes.get(receiver).setPeersInFlight(id, calls, nowMs - oldestMs);
	}

}
