package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RelayCancellation;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayHandle;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;

/**
 * Runs the programs of a workload against modelled engines and services on virtual time
 * and measures the credit that they earn.
 */
final class LoadSimulation {

	private static final long IDEAL_POLL_MS = 5;

	/** Period in which instances report to their relays, and relays to the others. */
	private static final long LOAD_SHARING_PERIOD_MS = 300;

	/** Time that a load takes over two relays to another zone. */
	private static final long LOAD_SHARING_DELAY_MS = 300;

	/** Time after the last arrival in which programs may complete in milliseconds. */
	private static final long COMPLETION_MS = 60_000;

	/** Share of its credit that a program earns if it takes up to twice its objective. */
	private static final double LATE_CREDIT_SHARE = 0.3;

	private final SimulatedDeployment deployment;

	private final ModelledCluster cluster;

	private final List<CallRunner> runners = new ArrayList<>();

	private final List<ReplicaIndex> sharingIndexes = new ArrayList<>();

	private @Nullable ReplicaIndex lastIndex;

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Integer> sendCounts = new HashMap<>();

	private final long seed;

	private final UniformRandomProvider random;

	private final Map<Integer, Integer> programsByZone = new HashMap<>();

	private final Map<Integer, Integer> inTimeByZone = new HashMap<>();

	private double earnedCredit;

	private double possibleCredit;

	/**
	 * Creates a simulation.
	 * @param workload deployment and its programs
	 * @param policy policy of all instances
	 * @param seed seed of the random choices of the schedulers
	 */
	LoadSimulation(PeakDayWorkload workload, LoadPolicy policy, long seed) {
		this(workload.deployment(), policy, seed);
	}

	/**
	 * Creates a simulation.
	 * @param deployment machines
	 * @param policy policy of all instances
	 * @param seed seed of the random choices of the schedulers
	 */
	LoadSimulation(SimulatedDeployment deployment, LoadPolicy policy, long seed) {
		this.deployment = deployment;
		this.seed = seed;
		this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
		this.cluster = new ModelledCluster(deployment);
		for (int i = 0; i < deployment.instances(); i++) {
			this.runners.add(policy.runner(this, i));
		}
	}

	/**
	 * Runs programs until they are complete or the time limit after the last arrival has
	 * passed.
	 * @param programs programs in the order of their arrival; at least one
	 * @return credit earned and prompt tokens read
	 */
	LoadResult run(List<PeakDayWorkload.Program> programs) {
		List<SimulatedProgram> simulatedPrograms = new ArrayList<>();
		for (PeakDayWorkload.Program program : programs) {
			this.possibleCredit += program.worth();
			this.programsByZone.merge(program.zone(), 1, Integer::sum);
			SimulatedProgram simulatedProgram = simulatedProgram(program, simulatedPrograms);
			simulatedPrograms.add(simulatedProgram);
			this.cluster.timer.schedule(program.arrivalMs(), simulatedProgram::start);
		}
		long lastMs = programs.get(programs.size() - 1).arrivalMs();
		this.cluster.timer.advance(lastMs + COMPLETION_MS);
		int turns = simulatedPrograms.stream().mapToInt(SimulatedProgram::turns).sum();
		return new LoadResult(this.earnedCredit / this.possibleCredit,
				(double) this.cluster.readTokens() / Math.max(1, turns), worstZoneShare());
	}

	private double worstZoneShare() {
		return this.programsByZone.entrySet()
			.stream()
			.mapToDouble((entry) -> (double) this.inTimeByZone.getOrDefault(entry.getKey(), 0) / entry.getValue())
			.min()
			.orElse(0);
	}

	private SimulatedProgram simulatedProgram(PeakDayWorkload.Program program,
			List<SimulatedProgram> simulatedPrograms) {
		int indexInZone = program.number() % Math.max(1, this.deployment.instances() / this.deployment.zones());
		int instance = program.zone() + indexInZone * this.deployment.zones();
		int programIndex = simulatedPrograms.size();
		return new SimulatedProgram(this.cluster, program, instance, this.runners.get(instance),
				Math.round(this.deployment.clientMs()), (isComplete) -> {
					if (isComplete) {
						programCompleted(program, simulatedPrograms.get(programIndex).elapsedMs());
					}
				});
	}

	private void programCompleted(PeakDayWorkload.Program program, double elapsedMs) {
		if (elapsedMs <= program.objectiveMs()) {
			this.earnedCredit += program.worth();
			this.inTimeByZone.merge(program.zone(), 1, Integer::sum);
		}
		else if (elapsedMs <= 2 * program.objectiveMs()) {
			this.earnedCredit += program.worth() * LATE_CREDIT_SHARE;
		}
	}

	/**
	 * Creates a scheduler of the gateway.
	 * @param instance index of the instance
	 * @return scheduler that receives loads from its own responses and, later, from those
	 * of all other instances
	 */
	CallRunner scheduler(int instance) {
		if (this.sharingIndexes.isEmpty()) {
			this.cluster.timer.subscribe(LOAD_SHARING_PERIOD_MS, this::shareLoads);
		}
		ScheduledCallRunner runner = scheduler(instance, GatewayNode.ZONE_CROSSING_MS);
		this.sharingIndexes.add(this.lastIndex);
		return runner;
	}

	CallRunner schedulerAlone(int instance) {
		return scheduler(instance, GatewayNode.ZONE_CROSSING_MS);
	}

	private void shareLoads() {
		List<ObservedLoad> loads = new ArrayList<>();
		this.sharingIndexes.forEach((index) -> loads.addAll(index.takeObservedLoads()));
		this.cluster.timer.schedule(LOAD_SHARING_DELAY_MS, () -> {
			List<ObservedLoad> received = loads.stream()
				.map((load) -> new ObservedLoad(load.replica(), load.calls(), load.ageMs() + LOAD_SHARING_DELAY_MS,
						load.requestsPerSecond(), load.workPercent(), load.speedLogFactor(), load.speedWeight()))
				.toList();
			this.sharingIndexes.forEach((index) -> index.loadsObservedElsewhere(received));
		});
	}

	/**
	 * Returns a scheduler that all instances share and that receives the load of each
	 * replica every {@value #IDEAL_POLL_MS} ms.
	 * @return the scheduler, created by the first call
	 */
	CallRunner idealScheduler() {
		if (!this.runners.isEmpty()) {
			return this.runners.get(0);
		}
		ScheduledCallRunner runner = scheduler(0, 0);
		this.cluster.timer.subscribe(IDEAL_POLL_MS, () -> this.cluster.replicas().forEach((id) -> {
			RelayEnd.ReportedLoad load = this.cluster.load(id);
			runner.reportReceived(id,
					LoadReport.ofAnswer(this.cluster.timer.nowMs(), load.runningCalls(), load.waitingCalls()));
		}));
		return runner;
	}

	private ScheduledCallRunner scheduler(int instance, double crossingMs) {
		ReplicaIndex index = new ReplicaIndex(this.cluster.zone(instance), crossingMs, GatewaySettings.COSTS,
				this.cluster.timer, RandomSource.XO_SHI_RO_256_PP.create(this.seed * 31 + instance), EventLog.NONE);
		this.lastIndex = index;
		return new ScheduledCallRunner(GatewaySettings.SCHEDULE, GatewaySettings.COSTS, index, this.cluster.timer,
				this.cluster.configuration(), UpstreamClients.RELAY_ONLY, ProgramSchedulingInfoSource.NONE,
				new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE));
	}

	/**
	 * Creates a runner that sends each request immediately.
	 * @param instance index of the instance
	 * @param replicaChooser selects one of the replicas of the service of a request
	 * @return runner without a queue
	 */
	CallRunner direct(int instance, BiFunction<RelayedCall, List<Upstream>, Upstream> replicaChooser) {
		return (request, listener) -> {
			RelayedCall call = (RelayedCall) request.payload();
			Upstream chosen = replicaChooser.apply(call, this.cluster.replicasOf(call.service()));
			String key = instance + "/" + chosen.id();
			this.inFlight.merge(key, 1, Integer::sum);
			RelayHandle handle = call.relay().send(chosen, request.timeoutMs(), new RelayListener() {

				@Override
				public void rateDeclared(double requestsPerSecond) {
				}

				@Override
				public void answerStarted(RelayEnd.@Nullable ReportedLoad load) {
				}

				@Override
				public void ended(RelayEnd end) {
					LoadSimulation.this.inFlight.merge(key, -1, Integer::sum);
					listener.completed(new CallResult(chosen.id(), end.status(), "", 0, 0, end.generatedTokens()));
				}

			});
			return () -> handle.cancel(RelayCancellation.CALLER_LEFT);
		};
	}

	int inFlight(int instance, UpstreamId id) {
		return this.inFlight.getOrDefault(instance + "/" + id, 0);
	}

	int nextRandom(int bound) {
		return this.random.nextInt(bound);
	}

	int nextSend(int instance, String service) {
		return this.sendCounts.merge(instance + "/" + service, 1, Integer::sum);
	}

	/**
	 * Result of a simulation.
	 *
	 * @param earnedShare credit earned divided by the maximum credit
	 * @param readTokensPerTurn mean number of prompt tokens that engines read per turn
	 * @param worstZoneShare share of programs in time in the zone where it is lowest
	 */
	record LoadResult(double earnedShare, double readTokensPerTurn, double worstZoneShare) {

	}

}
