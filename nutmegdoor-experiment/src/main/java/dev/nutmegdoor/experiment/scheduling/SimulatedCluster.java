package dev.nutmegdoor.experiment.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.WorkKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.time.VirtualTimerService;
import dev.nutmegdoor.standin.engine.EngineModel;
import dev.nutmegdoor.standin.engine.EngineSettings;

/**
 * Engines of a deployment on virtual time, with their zones and what is unreachable.
 */
final class SimulatedCluster implements ConfigurationView {

	static final String MODEL = "agent";

	final VirtualTimerService timer = new VirtualTimerService(0);

	final Deployment deployment;

	final Map<UpstreamId, EngineModel> engines = new LinkedHashMap<>();

	final List<SimulatedEngineClient> clients = new ArrayList<>();

	private final Configuration configuration;

	private final List<UpstreamId> down = new ArrayList<>();

	private int cutZone = -1;

	SimulatedCluster(Deployment deployment, Scenario scenario, boolean isInformationPerfect, long seed) {
		this.deployment = deployment;
		EngineSettings settings = EngineSettings.large(List.of(MODEL));
		if (isInformationPerfect) {
			settings = settings.withLags(50, 0, 0, 0);
		}
		else if (scenario == Scenario.EVENT_GAPS) {
			settings = settings.withLags(settings.reportPeriodMs(), settings.reportLagMs(), 3_000, 0.33);
		}
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (int i = 0; i < Deployment.ENGINES; i++) {
			UpstreamId id = new UpstreamId("engine-" + i);
			this.engines.put(id,
					new EngineModel(settings, this.timer, RandomSource.XO_SHI_RO_256_PP.create(seed * 100 + i)));
			upstreams.put(id, new Upstream(id, UpstreamKind.MODEL_ENGINE, zone(i % Deployment.ZONES), "127.0.0.1",
					1_024 + i, List.of(MODEL), settings.maxBatch(), true, false));
		}
		Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
		for (int i = 0; i < Deployment.WORKSPACE_SHARES.length; i++) {
			// Larger workspaces pay for a larger weight, though less than in proportion.
			int weight = (int) Math.round(100 * Math.sqrt(Deployment.WORKSPACE_SHARES[i]));
			workspaces.put(workspace(i),
					new Workspace(workspace(i), 1_000, 1_000, weight, Map.of(), ProgramBudget.DEFAULT));
		}
		Map<String, WorkKind> kinds = new LinkedHashMap<>();
		for (int i = 0; i < deployment.workKinds().size(); i++) {
			kinds.put(deployment.workKinds().get(i), new WorkKind(deployment.workKinds().get(i), i));
		}
		this.configuration = new Configuration(1, workspaces, Map.of(), kinds, Map.of(), upstreams);
	}

	static AvailabilityZone zone(int index) {
		return new AvailabilityZone("zone-" + (char) ('a' + index));
	}

	static WorkspaceId workspace(int index) {
		return new WorkspaceId("workspace-" + index);
	}

	@Override
	public Configuration current() {
		return this.configuration;
	}

	@Override
	public void subscribe(Consumer<Configuration> listener) {
		// The configuration of a run does not change.
	}

	List<Upstream> upstreams() {
		List<Upstream> upstreams = new ArrayList<>(this.configuration.upstreams().values());
		upstreams.sort((a, b) -> a.id().compareTo(b.id()));
		return upstreams;
	}

	EngineModel engine(UpstreamId id) {
		EngineModel engine = this.engines.get(id);
		if (engine == null) {
			throw new IllegalArgumentException("unknown engine " + id);
		}
		return engine;
	}

	boolean isReachable(int fromZone, Upstream upstream) {
		if (this.down.contains(upstream.id())) {
			return false;
		}
		// A negative zone is that of the ideal scheduler, which reaches everything.
		if (this.cutZone < 0 || fromZone < 0) {
			return true;
		}
		return (fromZone == this.cutZone) == upstream.availabilityZone().equals(zone(this.cutZone));
	}

	void schedule(Scenario scenario, long arrivalsMs) {
		long atMs = arrivalsMs / 3;
		if (scenario == Scenario.REPLICA_LOST) {
			this.timer.schedule(atMs, () -> {
				UpstreamId id = new UpstreamId("engine-1");
				this.down.add(id);
				engine(id).restart();
			});
		}
		if (scenario == Scenario.ZONE_CUT) {
			this.timer.schedule(atMs, () -> {
				this.cutZone = 1;
				this.clients.forEach(SimulatedEngineClient::breakUnreachable);
			});
			this.timer.schedule(atMs + 30_000, () -> this.cutZone = -1);
		}
	}

}
