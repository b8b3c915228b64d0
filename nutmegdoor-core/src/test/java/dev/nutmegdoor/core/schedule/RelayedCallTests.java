package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.CallHandle;
import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RelayEnd;
import dev.nutmegdoor.core.call.RelayHandle;
import dev.nutmegdoor.core.call.RelayListener;
import dev.nutmegdoor.core.call.RelayOutcome;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.RunState;
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
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

class RelayedCallTests {

	private static final ScheduleSettings SETTINGS = new ScheduleSettings(400, 8, 5_000, 0, 0, 20, 10_000, 3, 1,
			1_000_000, 5, 1);

	/** Number of concurrent calls after which each replica has cached the shared part. */
	private static final int WARM_UP_CALLS = 12;

	/** Costs with which engines never copy prefixes from one another. */
	private static final PlacementCosts COSTS = new PlacementCosts(3.41, 0.097, 1 / 112.0, 1e6, 1, 0.6, 12, 1, 2);

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final FakeConfigurationView configuration = new FakeConfigurationView(replicas("r-1", "r-2", "r-3"));

	private final List<Send> sends = new ArrayList<>();

	private final List<Refusal> refusals = new ArrayList<>();

	private final List<CallResult> results = new ArrayList<>();

	private ScheduledCallRunner runner = createRunner(1);

	private int callCount;

	private ScheduledCallRunner createRunner(long seed) {
		ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("a"), 4, COSTS, this.timer,
				RandomSource.XO_SHI_RO_256_PP.create(seed), EventLog.NONE);
		return new ScheduledCallRunner(SETTINGS, COSTS, index, this.timer, this.configuration,
				UpstreamClients.RELAY_ONLY, ProgramSchedulingInfoSource.NONE,
				new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE));
	}

	private static Configuration replicas(String... ids) {
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (String id : ids) {
			UpstreamId upstream = new UpstreamId(id);
			AvailabilityZone zone = new AvailabilityZone(id.startsWith("b") ? "b" : "a");
			upstreams.put(upstream,
					new Upstream(upstream, UpstreamKind.SERVICE, zone, "127.0.0.1", 1, List.of("s"), 4, false, false));
		}
		return new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), upstreams);
	}

	private CallHandle run(Repeatability repeatability, boolean isInterruptible, int maxReplicas,
			List<PromptPart> prompt) {
		return run(repeatability, isInterruptible, maxReplicas, prompt, false);
	}

	private CallHandle run(Repeatability repeatability, boolean isInterruptible, int maxReplicas,
			List<PromptPart> prompt, boolean isOpening) {
		RelayedCall call = new RelayedCall("s", null, repeatability, isInterruptible, maxReplicas, prompt,
				prompt.isEmpty() ? 0 : 10, 10, isOpening, null, null, 0, 1, this::send);
		return this.runner.run(new CallRequest(new DecisionId("d:" + this.callCount++), new WorkspaceId("w"),
				new KeyId("k"), null, 0, "", call, 3_000), new OutcomeRecorder());
	}

	private RelayHandle send(Upstream upstream, long remainingMs, RelayListener listener) {
		Send send = new Send(upstream.id(), remainingMs, listener);
		this.sends.add(send);
		return (reason) -> send.isCancelled = true;
	}

	private void end(int index, RelayOutcome outcome) {
		this.sends.get(index).listener.ended(new RelayEnd(outcome, 200, 0, null, outcome.name()));
		this.timer.advance(1);
	}

	@Nested
	class AtMostOnceCalls {

		// Guards against a duplicate booking: the connection fails after the replica has
		// received an at-most-once request, and the request is retried.
		@Test
		void doesNotRetryAfterConnectionFailure() {
			run(Repeatability.AT_MOST_ONCE, false, 3, List.of());
			end(0, RelayOutcome.BROKEN);
			assertThat(RelayedCallTests.this.sends, hasSize(1));
			assertThat(RelayedCallTests.this.refusals.get(0).run(), is(RunState.UNKNOWN));
		}

		// Guards against a needless failure: the connection to the replica is never
		// established, and the request is rejected although no replica has received it.
		@Test
		void sendsToAnotherReplicaWhenConnectFails() {
			run(Repeatability.AT_MOST_ONCE, false, 1, List.of());
			end(0, RelayOutcome.NOT_CONNECTED);
			assertThat(RelayedCallTests.this.sends, hasSize(2));
			assertThat(RelayedCallTests.this.sends.get(1).replica, is(not(RelayedCallTests.this.sends.get(0).replica)));
		}

		// Guards against an at-most-once request with an unknown outcome: its send is
		// cancelled because the caller disconnected.
		@Test
		void keepsSendRunningWhenCallerCancels() {
			run(Repeatability.AT_MOST_ONCE, false, 1, List.of()).cancel();
			assertThat(RelayedCallTests.this.sends.get(0).isCancelled, is(false));
		}

	}

	@Nested
	class RepeatableCalls {

		// Guards against a request that fails because one replica fails, although other
		// replicas are healthy.
		@Test
		void retriesOnAnotherReplicaAfterConnectionFailure() {
			run(Repeatability.REPEATABLE, true, 2, List.of());
			end(0, RelayOutcome.BROKEN);
			end(1, RelayOutcome.ANSWERED);
			assertThat(RelayedCallTests.this.results, hasSize(1));
		}

		// Guards against a request that is sent to more replicas than its route allows.
		@Test
		void sendsToNoMoreThanMaxReplicas() {
			run(Repeatability.REPEATABLE, true, 1, List.of());
			end(0, RelayOutcome.BROKEN);
			assertThat(RelayedCallTests.this.sends, hasSize(1));
			run(Repeatability.REPEATABLE, true, 1, List.of());
			end(1, RelayOutcome.DECLINED);
			assertThat(RelayedCallTests.this.sends, hasSize(2));
			assertThat(RelayedCallTests.this.refusals.get(1).run(), is(RunState.NOT_RUN));
		}

		// Guards against a client that receives part of one response followed by another
		// response.
		@Test
		void doesNotRetryAfterPartialResponse() {
			run(Repeatability.REPEATABLE, true, 3, List.of());
			RelayedCallTests.this.sends.get(0).listener.answerStarted(null);
			end(0, RelayOutcome.TRUNCATED);
			assertThat(RelayedCallTests.this.sends, hasSize(1));
			assertThat(RelayedCallTests.this.refusals.get(0).run(), is(RunState.RAN));
		}

		// Guards against replicas that continue to work on requests whose callers have
		// disconnected.
		@Test
		void cancelsSendWhenCallerCancels() {
			run(Repeatability.REPEATABLE, true, 1, List.of()).cancel();
			assertThat(RelayedCallTests.this.sends.get(0).isCancelled, is(true));
		}

		// Guards against a request that stays open after its deadline.
		@Test
		void cancelsSendAndRejectsCallAtDeadline() {
			run(Repeatability.REPEATABLE, true, 1, List.of());
			RelayedCallTests.this.timer.advance(3_000);
			assertThat(RelayedCallTests.this.sends.get(0).isCancelled, is(true));
			assertThat(RelayedCallTests.this.refusals, hasSize(1));
		}

	}

	@Nested
	class NetworkPartitionBetweenZones {

		private static final int CALLS = 40;

		private static final long CALL_INTERVAL_MS = 60;

		/** Calls in flight at the same time, more than the local zone runs. */
		private static final int CONCURRENT_CALLS = 16;

		/** Calls in flight in the local zone; fewer than its capacity. */
		private static final int LOCAL_CALLS = 7;

		private final List<PromptPart> prompt = List.of(new PromptPart("shared", 2_000));

		private void prepareZones() {
			prepareZones("b-1", "b-2");
		}

		private void prepareZones(String... otherZoneReplicas) {
			List<String> ids = new ArrayList<>(List.of("a-1", "a-2"));
			ids.addAll(List.of(otherZoneReplicas));
			RelayedCallTests.this.configuration.set(replicas(ids.toArray(String[]::new)));
			RelayedCallTests.this.runner = createRunner(3);
			completeCallsBeforePartition();
		}

		private void completeCallsBeforePartition() {
			for (int i = 0; i < LOCAL_CALLS; i++) {
				run(Repeatability.REPEATABLE, true, 1, this.prompt);
			}
			for (int i = 0; i < LOCAL_CALLS; i++) {
				end(i, RelayOutcome.ANSWERED);
			}
			RelayedCallTests.this.sends.clear();
			RelayedCallTests.this.results.clear();
		}

		/** Completes the sends to the local zone, leaving out the last sends. */
		private void completeLocalSends(int lastSendsToSkip) {
			for (int i = 0; i < RelayedCallTests.this.sends.size() - lastSendsToSkip; i++) {
				Send send = RelayedCallTests.this.sends.get(i);
				if (send.replica.value().startsWith("a") && !send.isCompleted) {
					send.isCompleted = true;
					send.listener.answerStarted(null);
					end(i, RelayOutcome.ANSWERED);
				}
			}
		}

		// Simulates a network partition in which connections to the other zone time out.
		// Guards against calls that each lose the time of a connection attempt to that
		// zone.
		@Test
		void avoidsOtherZoneAfterConnectionsToItFail() {
			prepareZones("b-1", "b-2", "b-3", "b-4", "b-5", "b-6", "b-7", "b-8");
			for (int i = 0; i < CALLS; i++) {
				run(Repeatability.REPEATABLE, true, 1, this.prompt);
				RelayedCallTests.this.timer.advance(CALL_INTERVAL_MS);
				for (int sendIndex = 0; sendIndex < RelayedCallTests.this.sends.size(); sendIndex++) {
					Send otherZoneSend = RelayedCallTests.this.sends.get(sendIndex);
					if (otherZoneSend.replica.value().startsWith("b") && !otherZoneSend.isCompleted) {
						otherZoneSend.isCompleted = true;
						end(sendIndex, RelayOutcome.NOT_CONNECTED);
					}
				}
				completeLocalSends(LOCAL_CALLS);
			}
			completeLocalSends(0);
			long otherZoneSends = RelayedCallTests.this.sends.stream()
				.filter((send) -> send.replica.value().startsWith("b"))
				.count();
			assertThat(otherZoneSends, lessThanOrEqualTo(4L));
			assertThat(RelayedCallTests.this.results, hasSize(CALLS));
		}

		// Guards against an answer that is cut off, or never arrives, because the zone of
		// its replica was silent for a while.
		@Test
		void deliversAnswersOfZoneThatWasSilent() {
			prepareZones();
			leaveOtherZoneSilent();
			RelayedCallTests.this.timer.advance(2_000);
			assertThat(otherZoneSends(), hasSize(greaterThan(1)));
			assertThat(otherZoneSends().stream().anyMatch((send) -> send.isCancelled), is(false));
			for (Send send : otherZoneSends()) {
				send.listener.answerStarted(null);
				send.listener.ended(new RelayEnd(RelayOutcome.ANSWERED, 200, 10, null, "status 200"));
			}
			assertThat(RelayedCallTests.this.results, hasSize(CONCURRENT_CALLS));
			assertThat(RelayedCallTests.this.refusals, is(empty()));
		}

		// Guards against calls that are sent to a partitioned zone, where they wait until
		// their deadline.
		@Test
		void sendsNoFurtherCallsToSilentZone() {
			prepareZones();
			leaveOtherZoneSilent();
			int silentSends = otherZoneSends().size();
			for (int i = 0; i < LOCAL_CALLS; i++) {
				run(Repeatability.REPEATABLE, true, 1, this.prompt);
			}
			assertThat(otherZoneSends(), hasSize(silentSends));
		}

		private void leaveOtherZoneSilent() {
			for (int i = 0; i < CONCURRENT_CALLS; i++) {
				run(Repeatability.REPEATABLE, true, 1, this.prompt);
			}
			RelayedCallTests.this.timer.advance(300);
			completeLocalSends(0);
			RelayedCallTests.this.timer.advance(300);
		}

		private List<Send> otherZoneSends() {
			return RelayedCallTests.this.sends.stream().filter((send) -> send.replica.value().startsWith("b")).toList();
		}

		// Guards against an operation that runs twice: the call ends early because the
		// zone is unresponsive, and the client retries it.
		@Test
		void doesNotInterruptAtMostOnceCallsWhenZoneIsUnresponsive() {
			prepareZones();
			for (int i = 0; i < 16; i++) {
				run(Repeatability.AT_MOST_ONCE, false, 1, this.prompt);
			}
			RelayedCallTests.this.timer.advance(2_000);
			assertThat(RelayedCallTests.this.sends.stream().anyMatch((send) -> send.isCancelled), is(false));
			assertThat(RelayedCallTests.this.refusals, is(empty()));
		}

	}

	@Nested
	class ResumedStreams {

		private static final int OLD_REPLICAS = 2;

		private static final int NEW_REPLICAS = 40;

		private static final int MAX_CALLS_PER_REPLICA = 4;

		private void serve(int oldReplicas) {
			Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
			for (int i = 0; i < oldReplicas + NEW_REPLICAS; i++) {
				boolean isOld = i < oldReplicas;
				UpstreamId id = new UpstreamId((isOld ? "old-" : "new-") + i);
				upstreams.put(id, new Upstream(id, UpstreamKind.SERVICE, new AvailabilityZone("a"), "127.0.0.1", 1,
						List.of("s"), MAX_CALLS_PER_REPLICA, false, false, isOld ? "v1" : "v2"));
			}
			RelayedCallTests.this.configuration
				.set(new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), upstreams));
		}

		private void resume(String softwareVersion) {
			RelayedCall call = new RelayedCall("s", softwareVersion, Repeatability.REPEATABLE, true, 1, List.of(), 10,
					10, false, null, null, 0, 1, RelayedCallTests.this::send);
			RelayedCallTests.this.runner.run(new CallRequest(new DecisionId("d:" + RelayedCallTests.this.callCount++),
					new WorkspaceId("w"), new KeyId("k"), null, 0, "", call, 3_000), new OutcomeRecorder());
		}

		// Guards against a stream that goes on at another software version, also in a
		// pool
		// of which only a sample is considered.
		@Test
		void areSentOnlyToReplicasOfTheirVersion() {
			serve(OLD_REPLICAS);
			for (int i = 0; i < OLD_REPLICAS * MAX_CALLS_PER_REPLICA; i++) {
				resume("v1");
			}
			assertThat(RelayedCallTests.this.sends, hasSize(OLD_REPLICAS * MAX_CALLS_PER_REPLICA));
			RelayedCallTests.this.sends
				.forEach((send) -> assertThat(send.replica.value().startsWith("old-"), is(true)));
		}

		// Guards against a client that waits until its deadline for a version that has
		// left.
		@Test
		void areRefusedAtOnceWhenTheirVersionHasLeft() {
			serve(0);
			resume("v1");
			assertThat(RelayedCallTests.this.refusals, hasSize(1));
			assertThat(RelayedCallTests.this.refusals.get(0).reason(), is(RefusalReason.NOT_RESUMABLE));
			assertThat(RelayedCallTests.this.refusals.get(0).run(), is(RunState.NOT_RUN));
			assertThat(RelayedCallTests.this.refusals.get(0).retryAfterMs(), is(0L));
		}

		// Guards against a queued client that waits until its deadline for a version that
		// leaves meanwhile.
		@Test
		void areRefusedWhenTheirVersionLeavesWhileTheyWait() {
			serve(OLD_REPLICAS);
			int sendable = OLD_REPLICAS * MAX_CALLS_PER_REPLICA;
			for (int i = 0; i < sendable * 3; i++) {
				resume("v1");
			}
			int sent = RelayedCallTests.this.sends.size();
			serve(0);
			RelayedCallTests.this.timer.advance(200);
			assertThat(RelayedCallTests.this.refusals, hasSize(sendable * 3 - sent));
			RelayedCallTests.this.refusals.forEach((refusal) -> assertThat(refusal.run(), is(RunState.NOT_RUN)));
		}

	}

	@Nested
	class WhenAllReplicasAreBusy {

		// Guards against all programs missing their finish time because new programs are
		// opened while every replica is busy.
		@Test
		void rejectsOnlyCallsThatOpenPrograms() {
			for (int i = 0; i < 15; i++) {
				run(Repeatability.REPEATABLE, true, 1, List.of());
			}
			run(Repeatability.REPEATABLE, true, 1, List.of(), true);
			assertThat(RelayedCallTests.this.refusals, hasSize(1));
			assertThat(RelayedCallTests.this.refusals.get(0).run(), is(RunState.NOT_RUN));
			run(Repeatability.REPEATABLE, true, 1, List.of());
			assertThat(RelayedCallTests.this.refusals, hasSize(1));
		}

	}

	@Nested
	class CallsWithPrompts {

		// Guards against a history that is prefilled again on another replica because its
		// turns arrive at different instances.
		@Test
		void sendsFirstTurnOfHistoryToSameReplicaFromEveryInstance() {
			Set<UpstreamId> firstTurnReplicas = new HashSet<>();
			for (int instance = 0; instance < 3; instance++) {
				RelayedCallTests.this.runner = createRunner(instance);
				RelayedCallTests.this.sends.clear();
				for (int i = 0; i < WARM_UP_CALLS; i++) {
					run(Repeatability.REPEATABLE, true, 1, List.of(new PromptPart("shared", 2_000)));
				}
				for (int i = 0; i < WARM_UP_CALLS; i++) {
					end(i, RelayOutcome.ANSWERED);
				}
				run(Repeatability.REPEATABLE, true, 1,
						List.of(new PromptPart("shared", 2_000), new PromptPart("history", 10_000)));
				firstTurnReplicas.add(RelayedCallTests.this.sends.get(WARM_UP_CALLS).replica);
			}
			assertThat(firstTurnReplicas, hasSize(1));
		}

		// Guards against outdated load figures: the header of a stream reports the load
		// at its start, and the report is applied only when the stream ends.
		@Test
		void usesLoadReportedAtStartOfResponse() {
			List<PromptPart> prompt = List.of(new PromptPart("shared", 10));
			run(Repeatability.REPEATABLE, true, 1, prompt);
			UpstreamId busyReplica = RelayedCallTests.this.sends.get(0).replica;
			RelayedCallTests.this.sends.get(0).listener.answerStarted(new RelayEnd.ReportedLoad(4, 9, 4));
			for (int i = 0; i < 6; i++) {
				run(Repeatability.REPEATABLE, true, 1, prompt);
			}
			assertThat(RelayedCallTests.this.sends.stream().skip(1).map((send) -> send.replica).toList(),
					not(hasItem(busyReplica)));
		}

		// Guards against a prefix that each replica prefills although one has cached it.
		@Test
		void prefersReplicaThatHasCachedPrefix() {
			List<PromptPart> firstPrompt = List.of(new PromptPart("shared", 20_000), new PromptPart("one", 100));
			run(Repeatability.REPEATABLE, true, 1, firstPrompt);
			end(0, RelayOutcome.ANSWERED);
			for (int i = 0; i < 4; i++) {
				run(Repeatability.REPEATABLE, true, 1,
						List.of(new PromptPart("shared", 20_000), new PromptPart("other" + i, 100)));
			}
			UpstreamId cachingReplica = RelayedCallTests.this.sends.get(0).replica;
			assertThat(RelayedCallTests.this.sends.stream().map((send) -> send.replica).distinct().toList(),
					contains(cachingReplica));
			assertThat(RelayedCallTests.this.refusals, is(empty()));
		}

	}

	private static final class Send {

		private final UpstreamId replica;

		private final RelayListener listener;

		private boolean isCancelled;

		private boolean isCompleted;

		private Send(UpstreamId replica, long remainingMs, RelayListener listener) {
			assertThat(remainingMs > 0, is(true));
			this.replica = replica;
			this.listener = listener;
		}

	}

	private final class OutcomeRecorder implements CallListener {

		@Override
		public void generated(int offset, String text) {
			throw new AssertionError("the response to a relayed request must not pass through the scheduler");
		}

		@Override
		public void completed(CallResult result) {
			RelayedCallTests.this.results.add(result);
		}

		@Override
		public void refused(Refusal refusal) {
			RelayedCallTests.this.refusals.add(refusal);
		}

	}

}
