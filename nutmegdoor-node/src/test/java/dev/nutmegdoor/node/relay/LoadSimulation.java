package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramSchedulingInfoSource;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamClients;

/**
 * Plays a day's programs against modelled engines and services on virtual time, and
 * counts what callers get.
 */
final class LoadSimulation {

	private static final long IDEAL_POLL_MS = 5;

	/** Time after the last arrival in which programs may end in milliseconds. */
	private static final long FINISH_MS = 60_000;

	/** A program earns this part of its credit up to twice its objective. */
	private static final double LATE_PART = 0.3;

	private final PeakDayWorkload day;

	private final ModelledCluster cluster;

	private final List<CallRunner> runners = new ArrayList<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Integer> sends = new HashMap<>();

	private final long seed;

	private double earned;

	private double owed;

	/**
	 * Creates a play.
	 * @param day the load
	 * @param policy how requests are queued and placed
	 * @param seed seed of choices
	 */
	LoadSimulation(PeakDayWorkload day, LoadPolicy policy, long seed) {
		this.day = day;
		this.seed = seed;
		this.cluster = new ModelledCluster(day);
		for (int i = 0; i < day.instances; i++) {
			this.runners.add(policy.runner(this, i));
		}
	}

	/**
	 * Plays programs to their end.
	 * @param arriving the programs
	 * @return what callers got
	 */
	LoadResult play(List<PeakDayWorkload.Program> arriving) {
		List<SimulatedProgram> played = new ArrayList<>();
		for (PeakDayWorkload.Program program : arriving) {
			this.owed += program.worth();
			SimulatedProgram own = played(program, played);
			played.add(own);
			this.cluster.timer.schedule(program.arrivalMs(), own::start);
		}
		long lastMs = arriving.get(arriving.size() - 1).arrivalMs();
		this.cluster.timer.advance(lastMs + FINISH_MS);
		int turns = played.stream().mapToInt(SimulatedProgram::turns).sum();
		return new LoadResult(this.earned / this.owed, (double) this.cluster.readTokens() / Math.max(1, turns));
	}

	private SimulatedProgram played(PeakDayWorkload.Program program, List<SimulatedProgram> before) {
		int inZone = program.number() % Math.max(1, this.day.instances / this.day.zones);
		int instance = program.zone() + inZone * this.day.zones;
		int place = before.size();
		return new SimulatedProgram(this.cluster, program, instance, this.runners.get(instance),
				Math.round(this.day.clientMs), (isComplete) -> {
					if (isComplete) {
						finished(program, before.get(place).elapsedMs());
					}
				});
	}

	private void finished(PeakDayWorkload.Program program, double tookMs) {
		if (tookMs <= program.objectiveMs()) {
			this.earned += program.worth();
		}
		else if (tookMs <= 2 * program.objectiveMs()) {
			this.earned += program.worth() * LATE_PART;
		}
	}

	/**
	 * Returns the gateway's scheduler.
	 * @param instance number of the instance
	 * @return a scheduler of its own, which learns loads from answers
	 */
	CallRunner scheduler(int instance) {
		return scheduler(instance, GatewayNode.ZONE_CROSSING_MS);
	}

	/**
	 * Returns a scheduler that all instances share and that knows each load at once.
	 * @return the scheduler
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
		return new ScheduledCallRunner(GatewaySettings.SCHEDULE, GatewaySettings.COSTS, index, this.cluster.timer,
				this.cluster.configuration(), UpstreamClients.RELAY_ONLY, ProgramSchedulingInfoSource.NONE,
				new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE));
	}

	/**
	 * Returns a runner that sends each request at once.
	 * @param instance number of the instance
	 * @param choice chooses among the replicas of the request's service
	 * @return the runner
	 */
	CallRunner direct(int instance, BiFunction<RelayedCall, List<Upstream>, Upstream> choice) {
		return (request, listener) -> {
			RelayedCall call = (RelayedCall) request.payload();
			Upstream chosen = choice.apply(call, this.cluster.replicasOf(call.service()));
			String key = instance + "/" + chosen.id();
			this.inFlight.merge(key, 1, Integer::sum);
			return call.relay().send(chosen, request.timeoutMs(), new RelayListener() {

				@Override
				public void answerStarted(RelayEnd.@Nullable ReportedLoad load) {
				}

				@Override
				public void ended(RelayEnd end) {
					LoadSimulation.this.inFlight.merge(key, -1, Integer::sum);
					listener.completed(new CallResult(chosen.id(), end.status(), "", 0, 0, end.generatedTokens()));
				}

			});
		};
	}

	int inFlight(int instance, UpstreamId id) {
		return this.inFlight.getOrDefault(instance + "/" + id, 0);
	}

	int nextSend(int instance, String service) {
		return this.sends.merge(instance + "/" + service, 1, Integer::sum);
	}

	/**
	 * What callers got.
	 *
	 * @param earnedShare credit earned of the credit owed
	 * @param readTokensPerTurn prompt tokens that engines read for a turn
	 */
	record LoadResult(double earnedShare, double readTokensPerTurn) {

	}

}
