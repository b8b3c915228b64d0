package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
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
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.placement.ColdReplicas;
import dev.nutmegdoor.core.placement.ColdStart;
import dev.nutmegdoor.core.placement.ColdTolerance;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.RateShares;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Plays several instances that send calls to replicas of which some are cold.
 */
class ColdReplicaTests {

	private static final long WINDOW_MS = 1_000;

	private static final ColdStart COLD_START = new ColdStart(3_000, 27);

	private static final ColdTolerance TOLERANCE = new ColdTolerance(1.5, 5);

	/**
	 * Number of requests in any one second from which a cold replica crashes, less one.
	 */
	private static final int BOUND = 45;

	private static final long ALWAYS_COLD_MS = 3_600_000;

	private static final long CALL_MS = 90;

	private static final PlacementCosts COSTS = new PlacementCosts(3.41, 0.097, 1 / 112.0, 1e6, 1, 1, 12, 1, 2);

	private static final ScheduleSettings SETTINGS = new ScheduleSettings(2_000, 16, 200, 0, 0, 150, 3_000, 3, 0.2,
			3_600_000, 5, 1.0);

	private final VirtualTimerService timer = new VirtualTimerService(10_000);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11);

	private final Map<UpstreamId, List<Long>> arrivalsMs = new HashMap<>();

	private final List<ScheduledCallRunner> runners = new ArrayList<>();

	private final List<ReplicaIndex> indexes = new ArrayList<>();

	private final List<ColdReplicas> rules = new ArrayList<>();

	/** Time in milliseconds at which requests arrive that were sent before. */
	private long stalledUntilMs;

	private long timeoutMs = 3_000;

	private int callCount;

	private int answered;

	private int refused;

	private int refusedWithoutTime;

	private int refusedLate;

	private static UpstreamId replica(int index) {
		return new UpstreamId("r-" + index);
	}

	private static Map<UpstreamId, Upstream> upstreams(int replicas) {
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (int i = 0; i < replicas; i++) {
			upstreams.put(replica(i), new Upstream(replica(i), UpstreamKind.SERVICE, new AvailabilityZone("z" + i % 3),
					"127.0.0.1", 1, List.of("s"), 6, false, false));
		}
		return upstreams;
	}

	private static InstanceId instance(int index) {
		return new InstanceId("i-" + index);
	}

	private static List<InstanceId> others(int instances, int self) {
		List<InstanceId> others = new ArrayList<>();
		for (int i = 0; i < instances; i++) {
			if (i != self) {
				others.add(instance(i));
			}
		}
		return others;
	}

	private void createInstances(int instances, int replicas) {
		for (int i = 0; i < instances; i++) {
			List<InstanceId> others = others(instances, i);
			createInstance(i, replicas, () -> others, true);
		}
	}

	private void createInstance(int self, int replicas, Supplier<List<InstanceId>> others, boolean areOthersKnown) {
		RateShares shares = new RateShares(instance(self), others, () -> areOthersKnown);
		ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("z" + self % 3), 4, COSTS, this.timer,
				RandomSource.XO_SHI_RO_256_PP.create(self), EventLog.NONE, shares);
		ColdReplicas cold = new ColdReplicas(shares, TOLERANCE, (service) -> COLD_START, this.timer, EventLog.NONE);
		index.limitCold(cold);
		this.indexes.add(index);
		this.rules.add(cold);
		Configuration configuration = new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), upstreams(replicas));
		this.runners.add(new ScheduledCallRunner(SETTINGS, COSTS, index, this.timer,
				new FakeConfigurationView(configuration), UpstreamClients.RELAY_ONLY, ProgramSchedulingInfoSource.NONE,
				new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE)));
	}

	private void list(int firstReplica, int endReplica, long sequence, long coldLeftMs) {
		for (int i = firstReplica; i < endReplica; i++) {
			UpstreamId id = replica(i);
			this.rules.forEach((cold) -> cold.listed(id, sequence == 1, sequence, coldLeftMs));
		}
	}

	private RelayHandle send(Upstream upstream, RelayListener listener) {
		long delayMs = Math.max(this.random.nextInt(20), this.stalledUntilMs - this.timer.nowMs());
		this.timer.schedule(delayMs, () -> {
			this.arrivalsMs.computeIfAbsent(upstream.id(), (id) -> new ArrayList<>()).add(this.timer.nowMs());
			this.timer.schedule(CALL_MS, () -> {
				listener.answerStarted(null);
				listener.ended(new RelayEnd(RelayOutcome.ANSWERED, 200, 10, null, "status 200"));
			});
		});
		return (reason) -> {
		};
	}

	private void run(double callsPerSecond, long durationMs) {
		long endMs = this.timer.nowMs() + durationMs;
		double dueMs = this.timer.nowMs();
		while (this.timer.nowMs() < endMs) {
			dueMs += 1_000 / callsPerSecond;
			this.timer.advance(Math.max(0, (long) dueMs - this.timer.nowMs()));
			ScheduledCallRunner runner = this.runners.get(this.random.nextInt(this.runners.size()));
			OutcomeCounter outcome = new OutcomeCounter(this.timer.nowMs());
			RelayedCall call = new RelayedCall("s", null, Repeatability.REPEATABLE, true, 1, List.of(), 10, 10, false,
					null, null, 0, CALL_MS, (upstream, remainingMs, listener) -> {
						outcome.isSent = true;
						return send(upstream, listener);
					});
			runner.run(new CallRequest(new DecisionId("d:" + this.callCount++), new WorkspaceId("w"), new KeyId("k"),
					null, 0, "", call, this.timeoutMs), outcome);
		}
	}

	private int maxArrivals(int replica) {
		List<Long> times = this.arrivalsMs.getOrDefault(replica(replica), List.of()).stream().sorted().toList();
		int most = 0;
		int first = 0;
		for (int last = 0; last < times.size(); last++) {
			while (times.get(last) - times.get(first) >= WINDOW_MS) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	private void assertBoundHolds(int firstReplica, int endReplica) {
		for (int i = firstReplica; i < endReplica; i++) {
			assertThat("requests to replica " + i, maxArrivals(i), lessThanOrEqualTo(BOUND));
		}
	}

	// Guards against a cold replica that crashes because all instances send to it.
	@ParameterizedTest
	@CsvSource({ "1, 1", "3, 1", "16, 6", "70, 1", "70, 24", "150, 3" })
	void replicaSurvivesRequestsOfAllInstances(int instances, int replicas) {
		createInstances(instances, replicas);
		list(0, replicas, 1, ALWAYS_COLD_MS);
		run(100 * replicas, 6_000);
		assertBoundHolds(0, replicas);
	}

	// Guards against a cold replica that is hardly used, so that callers are refused
	// although it would serve them.
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 16, 70 })
	void coldCapacityIsUsed(int instances) {
		createInstances(instances, 6);
		list(0, 6, 1, ALWAYS_COLD_MS);
		run(600, 6_000);
		// The shares add up to 22 requests under way; a request counts for about 1.2 s.
		assertThat(this.answered, greaterThanOrEqualTo(6 * 6 * 16));
	}

	// Guards against a replica that crashes because some instances don't know others:
	// newly started ones know all, but the links to the others are cut, or all have just
	// been added and know the earlier ones only.
	@ParameterizedTest
	@CsvSource({ "35, 35, true", "3, 6, true", "35, 35, false", "9, 9, false" })
	void replicaSurvivesInstancesThatOthersDoNotKnow(int known, int added, boolean areAddedKnownToEachOther) {
		for (int i = 0; i < known; i++) {
			List<InstanceId> others = others(known, i);
			createInstance(i, 3, () -> others, true);
		}
		for (int i = known; i < known + added; i++) {
			List<InstanceId> others = others(areAddedKnownToEachOther ? known + added : i, i);
			createInstance(i, 3, () -> others, true);
		}
		list(0, 3, 1, ALWAYS_COLD_MS);
		run(400, 6_000);
		assertBoundHolds(0, 3);
	}

	// Guards against an instance that sends its requests as if it were alone because it
	// has not listed the others yet.
	@Test
	void instanceThatDoesNotKnowOthersSendsNothingToColdReplica() {
		createInstance(0, 2, List::of, false);
		list(0, 1, 1, ALWAYS_COLD_MS);
		list(1, 2, 1, 0);
		run(50, 3_000);
		assertThat(maxArrivals(0), is(0));
		assertThat(maxArrivals(1), greaterThan(0));
	}

	// Guards against requests that were delayed on their way and arrive together with
	// later ones.
	@ParameterizedTest
	@ValueSource(ints = { 3, 70 })
	void replicaSurvivesRequestsThatWereDelayed(int instances) {
		createInstances(instances, 3);
		list(0, 3, 1, ALWAYS_COLD_MS);
		run(300, 1_500);
		this.stalledUntilMs = this.timer.nowMs() + 2_500;
		run(300, 6_000);
		assertBoundHolds(0, 3);
	}

	// Guards against requests to a replica that turns cold, in addition to those that it
	// received as a warm one in the same second.
	@ParameterizedTest
	@ValueSource(ints = { 3, 70 })
	void replicaSurvivesTurningColdUnderLoad(int instances) {
		createInstances(instances, 3);
		list(0, 3, 1, 0);
		run(3 * 25, 3_000);
		list(0, 3, 2, 4_000);
		run(3 * 100, 3_900);
		assertBoundHolds(0, 3);
	}

	// Guards against a replica that an instance learns to be cold from a response, and
	// that is flooded because others learn it later.
	@Test
	void replicaSurvivesNoticesThatArriveAtDifferentTimes() {
		createInstances(70, 3);
		list(0, 3, 1, 0);
		run(3 * 15, 3_000);
		for (ColdReplicas cold : this.rules) {
			this.timer.schedule(this.random.nextInt(1_000), () -> {
				for (int i = 0; i < 3; i++) {
					cold.stated(replica(i), 5_000, this.timer.nowMs());
				}
			});
		}
		run(3 * 15, 4_500);
		assertBoundHolds(0, 3);
	}

	// Guards against callers who are refused although warm replicas have capacity.
	@Test
	void warmReplicasServeWhileZoneIsCold() {
		createInstances(70, 24);
		list(0, 24, 1, 0);
		for (int i = 0; i < 24; i += 3) {
			list(i, i + 1, 2, ALWAYS_COLD_MS);
		}
		run(600, 6_000);
		for (int i = 0; i < 24; i += 3) {
			assertBoundHolds(i, i + 1);
		}
		assertThat(this.refused, is(0));
	}

	// Guards against requests that wait until their deadline although no replica can
	// serve
	// them before, and against refusals without the time at which to retry.
	@ParameterizedTest
	@ValueSource(longs = { 400, 2_000 })
	void requestsBeyondColdCapacityAreRefusedAtOnceWithTimeToRetry(long timeoutMs) {
		this.timeoutMs = timeoutMs;
		createInstances(9, 6);
		list(0, 6, 1, ALWAYS_COLD_MS);
		run(1_000, 6_000);
		assertBoundHolds(0, 6);
		assertThat(this.refused, greaterThan(4_000));
		assertThat(this.refusedWithoutTime, is(0));
		assertThat(this.refusedLate, lessThan(this.refused / 10));
	}

	// Guards against a replica that stays limited after it has warmed up.
	@Test
	void limitEndsWithColdTime() {
		createInstances(3, 1);
		list(0, 1, 1, 2_000);
		run(50, 2_000);
		int before = this.answered;
		run(50, 2_000);
		assertThat(this.answered - before, greaterThanOrEqualTo(95));
	}

	// Guards against a replica without a statement that is taken for a warm one after its
	// start, or for a cold one for ever.
	@Test
	void startedReplicaIsColdForConfiguredTime() {
		createInstance(0, 1, () -> others(1_000, 0), true);
		this.rules.get(0).listed(replica(0), true, 1, null);
		assertThat(this.indexes.get(0).coldWaitMs("service:s", 0), greaterThan(0.0));
		this.timer.advance(COLD_START.durationMs());
		assertThat(this.indexes.get(0).coldWaitMs("service:s", 0), is(0.0));
	}

	// Guards against a warm replica that counts as cold again because the store's list
	// was
	// read again.
	@Test
	void entryThatIsReceivedAgainChangesNothing() {
		createInstance(0, 1, () -> others(1_000, 0), true);
		list(0, 1, 1, 500);
		this.timer.advance(500);
		this.rules.get(0).listed(replica(0), false, 1, 500L);
		assertThat(this.indexes.get(0).coldWaitMs("service:s", 0), is(0.0));
	}

	// Guards against an earlier response that ends what a later one has stated.
	@Test
	void laterResponseDecides() {
		createInstance(0, 1, () -> others(1_000, 0), true);
		list(0, 1, 1, 0);
		long listedMs = this.timer.nowMs();
		this.timer.advance(100);
		this.rules.get(0).stated(replica(0), 5_000, listedMs + 50);
		this.rules.get(0).stated(replica(0), 0, listedMs + 60);
		assertThat(this.indexes.get(0).coldWaitMs("service:s", 0), greaterThan(0.0));
		this.timer.advance(100);
		this.rules.get(0).stated(replica(0), 0, listedMs + 150);
		assertThat(this.indexes.get(0).coldWaitMs("service:s", 0), is(0.0));
	}

	private final class OutcomeCounter implements CallListener {

		private final long acceptedMs;

		private boolean isSent;

		private OutcomeCounter(long acceptedMs) {
			this.acceptedMs = acceptedMs;
		}

		@Override
		public void generated(int offset, String text) {
			throw new AssertionError("the response to a relayed request must not pass through the scheduler");
		}

		@Override
		public void completed(CallResult result) {
			ColdReplicaTests.this.answered++;
		}

		@Override
		public void refused(Refusal refusal) {
			ColdReplicaTests.this.refused++;
			assertThat(refusal.run() == RunState.NOT_RUN, is(!this.isSent));
			ColdReplicaTests.this.refusedWithoutTime += (refusal.retryAfterMs() <= 0) ? 1 : 0;
			ColdReplicaTests.this.refusedLate += (ColdReplicaTests.this.timer.nowMs() > this.acceptedMs) ? 1 : 0;
		}

	}

}
