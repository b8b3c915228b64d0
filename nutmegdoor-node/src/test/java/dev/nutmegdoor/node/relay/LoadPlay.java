package dev.nutmegdoor.node.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.LoadReport;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.schedule.Observers;
import dev.nutmegdoor.core.schedule.ProgramFactsSource;
import dev.nutmegdoor.core.schedule.ScheduledCallRunner;
import dev.nutmegdoor.core.schedule.UpstreamPorts;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Plays a day's programs against modelled engines and services on virtual time, and
 * counts what callers get.
 */
final class LoadPlay {

	private static final int ENGINES = 6;

	private static final String ENGINE_SERVICE = "engines";

	private static final String PLAIN_SERVICE = "services";

	/** Stands for the call of an engine, which takes 3 s at most. */
	private static final LoadedDay.ToolCall TURN = new LoadedDay.ToolCall(0, 3_000);

	private static final long IDEAL_POLL_MS = 5;

	/** A client sends a turn that failed again at most twice. */
	private static final int MAX_TURN_FAILURES = 2;

	/** A program earns this part of its credit up to twice its objective. */
	private static final double LATE_PART = 0.3;

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final KeyId KEY = new KeyId("k");

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final LoadedDay day;

	private final Map<UpstreamId, ModelledEngine> engines = new LinkedHashMap<>();

	private final Map<UpstreamId, ModelledService> services = new LinkedHashMap<>();

	private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();

	private final List<CallRunner> runners = new ArrayList<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Integer> turns = new HashMap<>();

	private final FakeConfigurationView configuration;

	private final long seed;

	private double earned;

	private double owed;

	private int inTime;

	private int late;

	private int programs;

	private int calls;

	/**
	 * Creates a play.
	 * @param day the load
	 * @param policy how requests are queued and placed
	 * @param seed seed of choices
	 */
	LoadPlay(LoadedDay day, LoadPolicy policy, long seed) {
		this.day = day;
		this.seed = seed;
		for (int i = 0; i < ENGINES; i++) {
			UpstreamId id = add("engine-" + i, i % day.zones, ENGINE_SERVICE, ModelledEngine.BATCH);
			this.engines.put(id, new ModelledEngine(this.timer, day.cacheTokens));
		}
		for (int i = 0; i < day.serviceReplicas; i++) {
			UpstreamId id = add("service-" + i, i % day.zones, PLAIN_SERVICE, ModelledService.PLACES);
			this.services.put(id, new ModelledService(this.timer));
		}
		this.configuration = new FakeConfigurationView(
				new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), this.upstreams));
		for (int i = 0; i < day.instances; i++) {
			this.runners.add(policy.runner(this, i));
		}
	}

	private UpstreamId add(String name, int zone, String service, int places) {
		UpstreamId id = new UpstreamId(name);
		this.upstreams.put(id, new Upstream(id, UpstreamKind.SERVICE, zone(zone), "10.0.0.1", 1, List.of(service),
				places, false, false));
		return id;
	}

	private static AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index);
	}

	/**
	 * Plays programs to their end.
	 * @param arriving the programs
	 * @return what callers got
	 */
	LoadResult play(List<LoadedDay.Program> arriving) {
		for (LoadedDay.Program program : arriving) {
			this.programs++;
			this.owed += program.worth();
			this.timer.schedule(program.arrivalMs(), () -> new Line(program).start());
		}
		long lastMs = arriving.get(arriving.size() - 1).arrivalMs();
		this.timer.advance(lastMs + 60_000);
		long readTokens = this.engines.values().stream().mapToLong(ModelledEngine::readTokens).sum();
		return new LoadResult(this.programs, (double) this.inTime / this.programs, (double) this.late / this.programs,
				this.earned / this.owed, (double) readTokens / Math.max(1, this.calls));
	}

	CallRunner scheduler(int instance, boolean isIdeal) {
		if (isIdeal && !this.runners.isEmpty()) {
			return this.runners.get(0);
		}
		ReplicaIndex index = new ReplicaIndex(zone(instance % this.day.zones),
				isIdeal ? 0 : GatewayNode.ZONE_CROSSING_MS, GatewaySettings.COSTS, this.timer,
				RandomSource.XO_SHI_RO_256_PP.create(this.seed * 31 + instance), EventLog.NONE);
		ScheduledCallRunner runner = new ScheduledCallRunner(GatewaySettings.SCHEDULE, GatewaySettings.COSTS, index,
				this.timer, this.configuration, UpstreamPorts.RELAY_ONLY, ProgramFactsSource.NONE,
				new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE));
		if (isIdeal) {
			this.timer.subscribe(IDEAL_POLL_MS, () -> this.upstreams.keySet().forEach((id) -> {
				RelayEnd.ReportedLoad load = load(id);
				runner.reportReceived(id,
						LoadReport.ofAnswer(this.timer.nowMs(), load.runningCalls(), load.waitingCalls()));
			}));
		}
		return runner;
	}

	CallRunner direct(int instance, BiFunction<RelayedCall, List<Upstream>, Upstream> choice) {
		return (request, listener) -> {
			RelayedCall call = (RelayedCall) request.payload();
			List<Upstream> replicas = this.upstreams.values()
				.stream()
				.filter((upstream) -> upstream.serves().contains(call.service()))
				.toList();
			Upstream chosen = choice.apply(call, replicas);
			String key = instance + "/" + chosen.id();
			this.inFlight.merge(key, 1, Integer::sum);
			return call.relay().send(chosen, request.timeoutMs(), new RelayListener() {

				@Override
				public void answerStarted(RelayEnd.@Nullable ReportedLoad load) {
				}

				@Override
				public void ended(RelayEnd end) {
					LoadPlay.this.inFlight.merge(key, -1, Integer::sum);
					listener.completed(new CallResult(chosen.id(), end.status(), "", 0, 0, end.generatedTokens()));
				}

			});
		};
	}

	int inFlight(int instance, UpstreamId id) {
		return this.inFlight.getOrDefault(instance + "/" + id, 0);
	}

	int nextTurn(int instance, String service) {
		return this.turns.merge(instance + "/" + service, 1, Integer::sum);
	}

	private RelayEnd.ReportedLoad load(UpstreamId id) {
		ModelledEngine engine = this.engines.get(id);
		ModelledService service = this.services.get(id);
		if (engine != null) {
			return engine.load();
		}
		if (service == null) {
			throw new IllegalStateException("no model of " + id);
		}
		return service.load();
	}

	/** Time of a message between an instance and a replica. */
	private long oneWayMs(int instance, Upstream upstream) {
		boolean isSameZone = upstream.availabilityZone().equals(zone(instance % this.day.zones));
		return isSameZone ? 0 : Math.round(this.day.crossingMs);
	}

	/**
	 * One line of turns of a program.
	 */
	private final class Line {

		private final LoadedDay.Program program;

		private final int instance;

		private long startedMs;

		private Line(LoadedDay.Program program) {
			this.program = program;
			int inZone = program.number() % Math.max(1, LoadPlay.this.day.instances / LoadPlay.this.day.zones);
			this.instance = program.zone() + inZone * LoadPlay.this.day.zones;
		}

		private void start() {
			this.startedMs = LoadPlay.this.timer.nowMs();
			run(this.program.turns(), 0, 0, true, this::ended);
		}

		private void ended(boolean isComplete) {
			double tookMs = (double) LoadPlay.this.timer.nowMs() - this.startedMs;
			if (isComplete && tookMs <= this.program.objectiveMs()) {
				LoadPlay.this.inTime++;
				LoadPlay.this.earned += this.program.worth();
			}
			else if (isComplete && tookMs <= 2 * this.program.objectiveMs()) {
				LoadPlay.this.late++;
				LoadPlay.this.earned += this.program.worth() * LATE_PART;
			}
		}

		private void run(List<LoadedDay.Turn> line, int at, int failures, boolean isMain, End whenEnded) {
			if (at == line.size()) {
				whenEnded.ended(true);
				return;
			}
			LoadedDay.Turn turn = line.get(at);
			call(ENGINE_SERVICE, turn.prompt(), turn.answerTokens(), TURN, isMain && at == 0,
					(isServed, retryAfterMs) -> {
						if (isServed) {
							follow(turn, () -> run(line, at + 1, 0, isMain, whenEnded), () -> whenEnded.ended(false));
						}
						else if (failures < MAX_TURN_FAILURES) {
							LoadPlay.this.timer.schedule(Math.max(100, retryAfterMs),
									() -> run(line, at, failures + 1, isMain, whenEnded));
						}
						else {
							whenEnded.ended(false);
						}
					});
		}

		// Pause, tools and sub-agents run at the same time; the next turn waits for all.
		private void follow(LoadedDay.Turn turn, Runnable next, Runnable failed) {
			int[] open = { 1 + turn.tools().size() + turn.subAgents().size() };
			boolean[] isFailed = new boolean[1];
			End part = (isComplete) -> {
				isFailed[0] |= !isComplete;
				if (--open[0] == 0) {
					(isFailed[0] ? failed : next).run();
				}
			};
			LoadPlay.this.timer.schedule(turn.pauseMs(), () -> part.ended(true));
			turn.tools()
				.forEach((tool) -> call(PLAIN_SERVICE, List.of(), 0, tool, false,
						(isServed, retryAfterMs) -> part.ended(isServed)));
			turn.subAgents().forEach((line) -> run(line, 0, 0, false, part));
		}

		private void call(String service, List<PromptPart> prompt, int tokens, LoadedDay.ToolCall tool,
				boolean isOpening, CallEnd whenEnded) {
			LoadPlay.this.calls += prompt.isEmpty() ? 0 : 1;
			long leftMs = Math.max(1,
					Math.round(this.program.objectiveMs()) - LoadPlay.this.timer.nowMs() + this.startedMs);
			long clientMs = Math.round(LoadPlay.this.day.clientMs);
			RelayedCall relayed = new RelayedCall(service, Repeatability.REPEATABLE, true, 1, prompt, tokens * 2,
					tokens, isOpening, "p" + this.program.number(), leftMs, this.program.kind(), 1,
					(upstream, timeLeftMs, listener) -> send(upstream, prompt, tokens, tool.workMs(), listener));
			CallRequest request = new CallRequest(new DecisionId("d"), WORKSPACE, KEY, null, 0, "", relayed,
					tool.timeoutMs());
			CallListener listener = new CallListener() {

				@Override
				public void generated(int offset, String text) {
				}

				@Override
				public void completed(CallResult result) {
					LoadPlay.this.timer.schedule(clientMs, () -> whenEnded.ended(true, 0));
				}

				@Override
				public void refused(Refusal refusal) {

					boolean isEarly = refusal.reason() == RefusalReason.OVERLOADED;
					LoadPlay.this.timer.schedule(clientMs,
							() -> whenEnded.ended(false, isEarly ? refusal.retryAfterMs() : 0));
				}

			};
			LoadPlay.this.timer.schedule(clientMs,
					() -> LoadPlay.this.runners.get(this.instance).run(request, listener));
		}

		private CallHandle send(Upstream upstream, List<PromptPart> prompt, int tokens, int workMs,
				RelayListener listener) {
			long wayMs = oneWayMs(this.instance, upstream);
			Replied replied = new Replied(upstream.id(), wayMs, tokens, listener);
			LoadPlay.this.timer.schedule(wayMs, () -> {
				ModelledEngine engine = LoadPlay.this.engines.get(upstream.id());
				ModelledService service = LoadPlay.this.services.get(upstream.id());
				if (engine != null) {
					engine.submit(prompt, tokens, replied::first, replied::end);
				}
				else if (service != null) {
					service.submit(workMs, () -> {
						replied.first();
						replied.end();
					});
				}
			});
			return () -> replied.isCancelled = true;
		}

	}

	/**
	 * The answer of a replica on its way back. Its header tells the load at its
	 * beginning.
	 */
	private final class Replied {

		private final UpstreamId replica;

		private final long wayMs;

		private final int tokens;

		private final RelayListener listener;

		private RelayEnd.ReportedLoad load = new RelayEnd.ReportedLoad(0, 0, 1);

		private boolean isCancelled;

		private Replied(UpstreamId replica, long wayMs, int tokens, RelayListener listener) {
			this.replica = replica;
			this.wayMs = wayMs;
			this.tokens = tokens;
			this.listener = listener;
		}

		private void first() {
			this.load = load(this.replica);
			LoadPlay.this.timer.schedule(this.wayMs, () -> {
				if (!this.isCancelled) {
					this.listener.answerStarted(this.load);
				}
			});
		}

		private void end() {
			LoadPlay.this.timer.schedule(this.wayMs, () -> {
				if (!this.isCancelled) {
					this.listener.ended(new RelayEnd(RelayOutcome.ANSWERED, 200, this.tokens, null, "status 200"));
				}
			});
		}

	}

	@FunctionalInterface
	private interface End {

		void ended(boolean isComplete);

	}

	@FunctionalInterface
	private interface CallEnd {

		void ended(boolean isServed, long retryAfterMs);

	}

	/**
	 * What callers got.
	 *
	 * @param programs number of programs
	 * @param inTimeShare share that was finished within its objective
	 * @param lateShare share that was finished within twice its objective
	 * @param earnedShare credit earned of the credit owed
	 * @param readTokensPerTurn prompt tokens that engines read for a turn
	 */
	record LoadResult(int programs, double inTimeShare, double lateShare, double earnedShare,
			double readTokensPerTurn) {

	}

}
