package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallPayload;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionKind;
import dev.nutmegdoor.core.explain.DecisionRecord;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class ScheduledCallRunnerTests {

	/** Two engines that each run one call and accept one more. */
	private static final int TOTAL_CAPACITY = 4;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final List<DecisionRecord> records = new ArrayList<>();

	private final List<String> outcomes = new ArrayList<>();

	private final List<Refusal> refusals = new ArrayList<>();

	private final ManualUpstreams upstreams = new ManualUpstreams();

	private final UpstreamConfigurationView configuration = new UpstreamConfigurationView();

	private final ScheduledCallRunner runner = createRunner();

	private ScheduledCallRunner createRunner() {
		this.configuration.set(engine("e-1", 1, false), engine("e-2", 1, false));
		ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("a"), 4, PlacementCosts.DEFAULT, this.timer,
				RandomSource.XO_SHI_RO_256_PP.create(1), EventLog.NONE);
		return new ScheduledCallRunner(ScheduleSettings.DEFAULT, PlacementCosts.DEFAULT, index, this.timer,
				this.configuration, new UpstreamClients(this.upstreams, this.upstreams, (program, call) -> List.of()),
				ProgramSchedulingInfoSource.NONE, new Observers(this.records::add, this.invariants, StepListener.NONE));
	}

	private static Upstream engine(String id, int maxConcurrentCalls, boolean isLeaving) {
		return new Upstream(new UpstreamId(id), UpstreamKind.MODEL_ENGINE, new AvailabilityZone("a"), "127.0.0.1",
				1_024, List.of("m"), maxConcurrentCalls, true, isLeaving);
	}

	private static Upstream service(String id) {
		return new Upstream(new UpstreamId(id), UpstreamKind.SERVICE, new AvailabilityZone("a"), "127.0.0.1", 1_024,
				List.of("orders"), 1, true, false);
	}

	private void run(String name, String workspace, CallPayload payload, long timeoutMs) {
		this.runner.run(new CallRequest(new DecisionId(name), new WorkspaceId(workspace), new KeyId("k"),
				ProgramId.parse("a.0." + name), 1, "", payload, timeoutMs), new OutcomeRecorder(name));
	}

	private void runModelCall(String name, String workspace) {
		run(name, workspace, new ModelCall("m", "[]", 100, 10), 60_000);
	}

	@Nested
	class Queueing {

		// Guards against a timer that wakes an instance without waiting calls.
		@Test
		void runsNoTimerWithoutWaitingCalls() {
			assertThat(ScheduledCallRunnerTests.this.timer.runNext(), is(false));
		}

		// Guards against waiting calls that are no longer checked against their deadline
		// after the first check.
		@Test
		void checksDeadlinesWhileCallsWait() {
			for (int i = 0; i < TOTAL_CAPACITY; i++) {
				runModelCall("running" + i, "a");
			}
			run("waiting", "a", new ModelCall("m", "[]", 100, 10), 5_000);
			ScheduledCallRunnerTests.this.timer.advance(6_000);
			assertThat(ScheduledCallRunnerTests.this.outcomes.toString().contains("waiting"), is(true));
		}

		// Guards against a workspace whose calls wait behind the backlog of another.
		@Test
		void servesIdleWorkspaceBeforeBackloggedWorkspace() {
			for (int i = 0; i < 8; i++) {
				runModelCall("heavy" + i, "heavy");
			}
			runModelCall("light", "light");
			ScheduledCallRunnerTests.this.upstreams.complete(0);
			ScheduledCallRunnerTests.this.upstreams.complete(0);
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentPrograms().subList(4, 6).contains("light"),
					is(true));
		}

		// Guards against a queue that grows without limit under overload, and against
		// rejections that don't state when to retry.
		@Test
		void rejectsCallWithRetryDelayWhenQueueIsFull() {
			for (int i = 0; i < TOTAL_CAPACITY + ScheduleSettings.DEFAULT.maxQueuedPerWorkspace(); i++) {
				run("c" + i, "w", new ModelCall("m", "[]", 100, 10), Integer.MAX_VALUE);
			}
			assertThat(ScheduledCallRunnerTests.this.refusals, hasSize(0));
			runModelCall("last", "w");
			assertThat(ScheduledCallRunnerTests.this.refusals, hasSize(1));
			Refusal refusal = ScheduledCallRunnerTests.this.refusals.get(0);
			assertThat(refusal.run(), is(RunState.NOT_RUN));
			assertThat(refusal.retryAfterMs(), greaterThan(0L));
		}

		// Guards against a caller that is informed only at its deadline that its call
		// can't be served.
		@Test
		void rejectsQueuedCallThatCannotMeetDeadline() {
			for (int i = 0; i < TOTAL_CAPACITY; i++) {
				runModelCall("c" + i, "w");
			}
			run("c", "w", new ModelCall("m", "[]", 100, 10), 3_000);
			ScheduledCallRunnerTests.this.timer.advance(2_990);
			assertThat(ScheduledCallRunnerTests.this.outcomes, contains("c refused"));
		}

	}

	@Nested
	class Engines {

		// Guards against two outcomes of one call: cancelling the stream of a hung engine
		// fails its future immediately, while the attempt is still being ended.
		@Test
		void retriesHungCallOnAnotherEngineAndReportsOneOutcome() {
			runModelCall("a", "w");
			UpstreamId firstEngine = ScheduledCallRunnerTests.this.upstreams.sentTo.get(0);
			ScheduledCallRunnerTests.this.timer.advance(15_000);
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentTo, hasSize(2));
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentTo.get(1), not(firstEngine));
			ScheduledCallRunnerTests.this.upstreams.complete(0);
			ScheduledCallRunnerTests.this.timer.advance(120_000);
			assertThat(ScheduledCallRunnerTests.this.outcomes, contains("a completed"));
		}

		// Guards against a leaving engine that receives new calls and therefore can't
		// stop.
		@Test
		void sendsNoCallsToLeavingEngine() {
			ScheduledCallRunnerTests.this.configuration.set(engine("e-1", 4, true), engine("e-2", 4, false));
			ScheduledCallRunnerTests.this.timer.advance(4_000);
			runModelCall("a", "w");
			runModelCall("b", "w");
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentTo,
					contains(new UpstreamId("e-2"), new UpstreamId("e-2")));
			assertThat(ScheduledCallRunnerTests.this.invariants.violated(Invariant.UPSTREAM_DRAIN), is(0L));
			assertThat(ScheduledCallRunnerTests.this.invariants.checked(Invariant.UPSTREAM_DRAIN), is(2L));
		}

		// Guards against decision records that lack an input, so that an operator can't
		// reproduce the decision.
		@Test
		void recordsInputsThatReproducePlacementDecision() {
			runModelCall("a", "w");
			DecisionRecord record = ScheduledCallRunnerTests.this.records.get(0);
			assertThat(record.kind(), is(DecisionKind.PLACEMENT));
			assertThat(Placement.decide((PlacementInput) record.inputs()), is(record.outcome()));
		}

	}

	@Nested
	class Services {

		// Guards against an at-most-once operation that runs twice because it was hedged
		// or retried after a connection failure.
		@Test
		void sendsAtMostOnceOperationOnlyOnce() {
			ScheduledCallRunnerTests.this.configuration.set(service("s-1"), service("s-2"));
			run("a", "w", new ServiceCall("orders", "book", "{}", "k"), 60_000);
			ScheduledCallRunnerTests.this.timer.advance(5_000);
			ScheduledCallRunnerTests.this.upstreams.fail(0);
			ScheduledCallRunnerTests.this.timer.advance(5_000);
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentTo, hasSize(1));
			assertThat(ScheduledCallRunnerTests.this.refusals.get(0).run(), is(RunState.UNKNOWN));
		}

		// Guards against a call that waits for one slow replica although another replica
		// would respond.
		@Test
		void hedgesSlowRepeatableOperation() {
			ScheduledCallRunnerTests.this.configuration.set(service("s-1"), service("s-2"));
			run("a", "w", new ServiceCall("orders", "look-up", "{}", null), 60_000);
			ScheduledCallRunnerTests.this.timer.advance(1_500);
			assertThat(ScheduledCallRunnerTests.this.upstreams.sentTo, hasSize(2));
			ScheduledCallRunnerTests.this.upstreams.complete(1);
			ScheduledCallRunnerTests.this.upstreams.complete(0);
			assertThat(ScheduledCallRunnerTests.this.outcomes, contains("a completed"));
		}

	}

	private final class OutcomeRecorder implements CallListener {

		private final String name;

		private OutcomeRecorder(String name) {
			this.name = name;
		}

		@Override
		public void generated(int offset, String text) {
		}

		@Override
		public void completed(CallResult result) {
			ScheduledCallRunnerTests.this.outcomes.add(this.name + " completed");
		}

		@Override
		public void refused(Refusal refusal) {
			ScheduledCallRunnerTests.this.outcomes.add(this.name + " refused");
			ScheduledCallRunnerTests.this.refusals.add(refusal);
		}

	}

	private static final class UpstreamConfigurationView implements ConfigurationView {

		private final List<Consumer<Configuration>> listeners = new ArrayList<>();

		private Configuration current = Configuration.EMPTY;

		void set(Upstream... upstreams) {
			Map<UpstreamId, Upstream> upstreamsById = new LinkedHashMap<>();
			for (Upstream upstream : upstreams) {
				upstreamsById.put(upstream.id(), upstream);
			}
			ServiceOperation lookUp = new ServiceOperation("orders", "look-up", Repeatability.REPEATABLE, false);
			this.current = new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(lookUp.qualifiedName(), lookUp),
					upstreamsById);
			this.listeners.forEach((listener) -> listener.accept(this.current));
		}

		@Override
		public Configuration current() {
			return this.current;
		}

		@Override
		public void subscribe(Consumer<Configuration> listener) {
			this.listeners.add(listener);
		}

	}

}
