package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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
import dev.nutmegdoor.core.placement.ObservedLoad;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.RateShares;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Plays several instances that send calls to replicas of which some declare a rate.
 */
class DeclaredRateTests {

	private static final long CALL_MS = 90;

	/** Time in milliseconds after the first declaration from which the rate must hold. */
	private static final long CONTACT_MS = 3_000;

	private static final long WINDOW_MS = 4_000;

	/**
	 * Time in milliseconds after an instance has passed on a declaration from which its
	 * requests count.
	 */
	private static final long NOTICE_MS = 500;

	private static final PlacementCosts COSTS = new PlacementCosts(3.41, 0.097, 1 / 112.0, 1e6, 1, 1, 12, 1, 2);

	private static final ScheduleSettings SETTINGS = new ScheduleSettings(2_000, 16, 200, 0, 0, 150, 3_000, 3, 0.2,
			3_600_000, 5, 1.0);

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11);

	private final Map<UpstreamId, List<Long>> sendTimesMs = new HashMap<>();

	/** Sends of instances that knew the rate of the replica. */
	private final Map<UpstreamId, List<Long>> countedSendTimesMs = new HashMap<>();

	private final Map<String, Long> rateReceivedMs = new HashMap<>();

	private final List<ScheduledCallRunner> runners = new ArrayList<>();

	private double declaredRate;

	private int declaringReplicas;

	private int callCount;

	private int answered;

	private int refused;

	private static Map<UpstreamId, Upstream> upstreams(int replicas) {
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (int i = 0; i < replicas; i++) {
			UpstreamId id = new UpstreamId("r-" + i);
			upstreams.put(id, new Upstream(id, UpstreamKind.SERVICE, new AvailabilityZone("a"), "127.0.0.1", 1,
					List.of("s"), 16, false, false));
		}
		return upstreams;
	}

	private ReplicaIndex createIndex(int replicas) {
		ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("a"), 4, COSTS, this.timer, this.random,
				EventLog.NONE);
		index.setUpstreams(upstreams(replicas));
		return index;
	}

	private void createInstances(int instances, int replicas) {
		Configuration configuration = new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), upstreams(replicas));
		List<InstanceId> ids = new ArrayList<>();
		for (int i = 0; i < instances; i++) {
			ids.add(new InstanceId("i-" + i));
		}
		for (InstanceId self : ids) {
			List<InstanceId> others = ids.stream().filter((id) -> !id.equals(self)).toList();
			ReplicaIndex index = new ReplicaIndex(new AvailabilityZone("a"), 4, COSTS, this.timer,
					RandomSource.XO_SHI_RO_256_PP.create(self.hashCode()), EventLog.NONE,
					new RateShares(self, () -> others));
			this.runners.add(new ScheduledCallRunner(SETTINGS, COSTS, index, this.timer,
					new FakeConfigurationView(configuration), UpstreamClients.RELAY_ONLY,
					ProgramSchedulingInfoSource.NONE,
					new Observers(DecisionRecorder.NONE, new InvariantRegistry(), StepListener.NONE)));
		}
	}

	private RelayHandle send(int instance, Upstream upstream, RelayListener listener) {
		long nowMs = this.timer.nowMs();
		String instanceAndReplica = instance + "/" + upstream.id();
		this.sendTimesMs.computeIfAbsent(upstream.id(), (id) -> new ArrayList<>()).add(nowMs);
		if (this.rateReceivedMs.getOrDefault(instanceAndReplica, nowMs) + NOTICE_MS <= nowMs) {
			this.countedSendTimesMs.computeIfAbsent(upstream.id(), (id) -> new ArrayList<>()).add(nowMs);
		}
		boolean isDeclaring = Integer.parseInt(upstream.id().value().substring(2)) < this.declaringReplicas;
		double rate = isDeclaring ? this.declaredRate : 0;
		this.timer.schedule(CALL_MS, () -> {
			if (rate > 0) {
				this.rateReceivedMs.putIfAbsent(instanceAndReplica, this.timer.nowMs());
				listener.rateDeclared(rate);
			}
			listener.answerStarted(null);
			listener.ended(new RelayEnd(RelayOutcome.ANSWERED, 200, 10, null, "status 200"));
		});
		return (reason) -> {
		};
	}

	private void run(double callsPerSecond, long durationMs, boolean isOpening) {
		long endMs = this.timer.nowMs() + durationMs;
		double dueMs = this.timer.nowMs();
		while (this.timer.nowMs() < endMs) {
			dueMs += 1_000 / callsPerSecond;
			this.timer.advance(Math.max(0, (long) dueMs - this.timer.nowMs()));
			int instance = this.random.nextInt(this.runners.size());
			RelayedCall call = new RelayedCall("s", null, Repeatability.REPEATABLE, true, 1, List.of(), 10, 10,
					isOpening, null, null, 0, 1,
					(upstream, remainingMs, listener) -> send(instance, upstream, listener));
			this.runners.get(instance)
				.run(new CallRequest(new DecisionId("d:" + this.callCount++), new WorkspaceId("w"), new KeyId("k"),
						null, 0, "", call, 3_000), new OutcomeCounter());
		}
	}

	private int maxSendsInWindow(UpstreamId replica, long fromMs) {
		List<Long> times = this.countedSendTimesMs.getOrDefault(replica, List.of())
			.stream()
			.filter((timeMs) -> timeMs >= fromMs)
			.toList();
		int most = 0;
		for (int i = 0; i < times.size(); i++) {
			int first = i;
			most = Math.max(most,
					(int) times.stream()
						.filter((timeMs) -> timeMs >= times.get(first) && timeMs < times.get(first) + WINDOW_MS)
						.count());
		}
		return most;
	}

	// Guards against a replica that gets far more requests than the rate it has declared,
	// also when the load doubles after a calm time.
	@ParameterizedTest
	@CsvSource({ "7, 6, 4, 5.3, 100", "9, 6, 4, 3.8, 110", "9, 6, 6, 5, 110", "9, 16, 11, 2, 60", "83, 14, 10, 4, 100",
			"83, 14, 14, 8, 100" })
	void replicaGetsNoMoreRequestsThanItDeclares(int instances, int replicas, int declaring, double rate,
			double callsPerSecond) {
		createInstances(instances, replicas);
		run(callsPerSecond, 2_000, false);
		this.declaringReplicas = declaring;
		this.declaredRate = rate;
		long declaredMs = this.timer.nowMs();
		run(callsPerSecond, 10_000, false);
		run(callsPerSecond / 20, 10_000, false);
		run(callsPerSecond * 2, 6_000, false);
		for (int i = 0; i < declaring; i++) {
			assertThat(maxSendsInWindow(new UpstreamId("r-" + i), declaredMs + CALL_MS + CONTACT_MS),
					lessThanOrEqualTo((int) (1.5 * rate * WINDOW_MS / 1_000 + 5)));
		}
	}

	// Guards against a declared rate that goes unused, so that callers are refused
	// although replicas would accept their calls.
	@Test
	void usesDeclaredRateWhenAllReplicasDeclareOne() {
		createInstances(9, 6);
		this.declaringReplicas = 6;
		this.declaredRate = 8;
		run(100, 20_000, false);
		int sends = this.sendTimesMs.values()
			.stream()
			.mapToInt((times) -> (int) times.stream().filter((timeMs) -> timeMs >= CONTACT_MS).count())
			.sum();
		assertThat(sends, greaterThanOrEqualTo((int) (0.8 * 6 * 8 * 17)));
	}

	// Guards against programs that are begun and then wait until their deadline.
	@Test
	void refusesFirstTurnsAtOnceWhileNoReplicaAcceptsOne() {
		createInstances(1, 2);
		this.declaringReplicas = 2;
		this.declaredRate = 1;
		run(20, 1_000, true);
		int answeredBefore = this.answered;
		run(20, 5_000, true);
		assertThat(this.answered - answeredBefore, lessThanOrEqualTo(12));
		assertThat(this.refused, greaterThan(80));
		assertThat(this.callCount - this.answered - this.refused, lessThanOrEqualTo(2));
	}

	// Guards against a call that waits until its deadline although no replica accepts
	// one before.
	@Test
	void refusesCallAtOnceWhenNoReplicaAcceptsOneBeforeItsDeadline() {
		createInstances(1, 1);
		this.declaringReplicas = 1;
		this.declaredRate = 0.1;
		run(1, 1_000, false);
		this.timer.advance(CALL_MS);
		assertThat(this.answered, is(1));
		run(20, 1_000, false);
		assertThat(this.refused, is(20));
	}

	// Guards against a replica that stays limited after it has stopped declaring a rate.
	@Test
	void liftsLimitWhenReplicaAnswersWithoutRate() {
		createInstances(9, 2);
		this.declaringReplicas = 1;
		this.declaredRate = 2;
		run(50, 5_000, false);
		this.declaringReplicas = 0;
		run(50, 5_000, false);
		int before = this.sendTimesMs.get(new UpstreamId("r-0")).size();
		run(50, 4_000, false);
		assertThat(this.sendTimesMs.get(new UpstreamId("r-0")).size() - before, greaterThan(20));
	}

	// Guards against a rate that an answer to an earlier call removes, because answers
	// overtake each other.
	@Test
	void keepsRateWhenAnswerToEarlierCallArrivesLate() {
		UpstreamId id = new UpstreamId("r-0");
		ReplicaIndex index = createIndex(1);
		this.timer.advance(1_000);
		index.rateDeclared(id, 1);
		index.rateNotDeclared(id, 900);
		assertThat(index.leastLoad("service:s") > 1, is(true));
		this.timer.advance(10);
		index.rateNotDeclared(id, 1_005);
		assertThat(index.leastLoad("service:s"), is(0.0));
	}

	// Guards against an instance without a share of a rate, which sends nothing to the
	// replica and would not learn that the rate has ended.
	@Test
	void followsRateThatOtherInstanceObserves() {
		ReplicaIndex index = createIndex(1);
		UpstreamId id = new UpstreamId("r-0");
		this.timer.advance(1_000);
		index.loadsObservedElsewhere(List.of(new ObservedLoad(id, 0, 100, 1.0)));
		assertThat(index.leastLoad("service:s"), greaterThan(1.0));
		index.loadsObservedElsewhere(List.of(new ObservedLoad(id, 0, 50, null)));
		assertThat(index.leastLoad("service:s"), greaterThan(1.0));
		index.loadsObservedElsewhere(List.of(new ObservedLoad(id, 0, 50, 0.0)));
		assertThat(index.leastLoad("service:s"), is(0.0));
	}

	// Guards against a rate that outlives the process that declared it.
	@Test
	void forgetsRateOfReplicaThatHasRestarted() {
		UpstreamId id = new UpstreamId("r-0");
		ReplicaIndex index = createIndex(1);
		index.rateDeclared(id, 1);
		index.resetReplica(id);
		assertThat(index.leastLoad("service:s"), is(0.0));
	}

	private final class OutcomeCounter implements CallListener {

		@Override
		public void generated(int offset, String text) {
			throw new AssertionError("the response to a relayed request must not pass through the scheduler");
		}

		@Override
		public void completed(CallResult result) {
			DeclaredRateTests.this.answered++;
		}

		@Override
		public void refused(Refusal refusal) {
			DeclaredRateTests.this.refused++;
		}

	}

}
