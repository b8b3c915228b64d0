package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests what is learned about the time that work takes at each replica.
 */
class WorkTimeTests {

	private static final AvailabilityZone OWN_ZONE = new AvailabilityZone("a");

	private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("b");

	private static final UpstreamId FIRST = new UpstreamId("r-0");

	private static final UpstreamId SECOND = new UpstreamId("r-1");

	private static final UpstreamId OF_OTHER_ZONE = new UpstreamId("r-2");

	private static final int SLOTS = 8;

	private static final int ANSWER_TOKENS = 40;

	/** Duration of an answer in the cost model: 40 steps of 3.1 ms. */
	private static final double MODELLED_MS = 124;

	private final VirtualTimerService timer = new VirtualTimerService(10_000);

	private final ReplicaIndex index = newIndex();

	private ReplicaIndex newIndex() {
		ReplicaIndex created = new ReplicaIndex(OWN_ZONE, 20, new PlacementCosts(3, 0.1, 0.01, 1e6, 1, 1, 12, 1, 2),
				this.timer, RandomSource.XO_SHI_RO_256_PP.create(5), EventLog.NONE);
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (UpstreamId id : List.of(FIRST, SECOND, OF_OTHER_ZONE)) {
			AvailabilityZone zone = id.equals(OF_OTHER_ZONE) ? OTHER_ZONE : OWN_ZONE;
			upstreams.put(id,
					new Upstream(id, UpstreamKind.SERVICE, zone, "10.0.0.1", 1, List.of("m"), SLOTS, false, false));
		}
		created.setUpstreams(upstreams);
		return created;
	}

	private void state(UpstreamId id, Integer workPercent) {
		state(id, workPercent, 0);
	}

	private void state(UpstreamId id, Integer workPercent, int calls) {
		this.index.reportReceived(id, LoadReport.ofAnswer(this.timer.nowMs(), calls, 0), workPercent);
	}

	private void answer(UpstreamId id, double durationMs) {
		Reservation reservation = Objects.requireNonNull(this.index.reserve(id, 0));
		this.timer.advance(Math.round(durationMs));
		this.index.recordGeneration(reservation, durationMs, ANSWER_TOKENS, 1);
		this.index.recordAnswer(reservation, List.of(), durationMs, MODELLED_MS);
	}

	private ReplicaView view(UpstreamId id) {
		return input().replicas().stream().filter((replica) -> replica.id().equals(id)).findFirst().orElseThrow();
	}

	private PlacementInput input() {
		return this.index.collect("service:m", List.of(), ANSWER_TOKENS, 0, Set.of());
	}

	private WorkTime workTime(UpstreamId id) {
		return Objects.requireNonNull(view(id).workTime());
	}

	private int choices(UpstreamId id, int draws) {
		int choices = 0;
		for (int i = 0; i < draws; i++) {
			ScoredReplica chosen = Objects.requireNonNull(Placement.decide(input()).chosen());
			choices += chosen.id().equals(id) ? 1 : 0;
		}
		return choices;
	}

	@Nested
	class ReplicasThatStateNothing {

		// Guards against a change of placement in deployments whose replicas don't state
		// how long work takes: their answers must teach nothing and the input must not
		// differ from that of earlier versions.
		@Test
		void arePlacedAsBefore() {
			state(FIRST, null);
			answer(FIRST, MODELLED_MS * 2);
			assertThat(view(FIRST).workTime(), is(nullValue()));
			assertThat(input().times(), is(nullValue()));
			PlacementInput input = input();
			List<ReplicaView> views = new ArrayList<>();
			for (ReplicaView replica : input.replicas()) {
				views.add(new ReplicaView(replica.id(), replica.crossingMs(), replica.ownInFlight(),
						replica.othersInFlight(), replica.othersAgeMs(), replica.ownAtReport(), replica.freeAtReport(),
						replica.backlogTokens(), replica.cachedTokens(), replica.freeCacheTokens(),
						replica.maxConcurrentCalls(), replica.slowFactor(), replica.isEjected()));
			}
			assertThat(Placement
				.decide(new PlacementInput(input.pool(), input.promptTokens(), input.answerTokens(), input.waitedMs(),
						input.instances(), input.seed(), input.costs(), views, input.unsampledReplicas())),
					is(Placement.decide(input)));
		}

		// Guards against a replica that is placed by a statement of a previous version of
		// its program.
		@Test
		void areNoLongerPlacedByEarlierStatements() {
			state(FIRST, 250);
			WorkTimeTests.this.timer.advance(10);
			state(FIRST, null);
			assertThat(view(FIRST).workTime(), is(nullValue()));
		}

	}

	@Nested
	class SlowMoments {

		// Guards against a slow moment that steers placement long after its end: half of
		// it counts after 300 ms, almost nothing after 3 s.
		@Test
		void countForLessAsTheyAge() {
			WorkTime now = new WorkTime(1, 1, 2.5, 0);
			assertThat(now.momentaryFactorOver(0), is(closeTo(2.5, 0.001)));
			assertThat(new WorkTime(1, 1, 2.5, 300).momentaryFactorOver(0), is(closeTo(1.75, 0.001)));
			assertThat(new WorkTime(1, 1, 2.5, 3_000).momentaryFactorOver(0), is(closeTo(1, 0.01)));
		}

		// Guards against a long answer that is placed as if the slow moment lasted until
		// its end.
		@Test
		void countForLessInLongWork() {
			WorkTime now = new WorkTime(1, 1, 2.5, 0);
			assertThat(now.momentaryFactorOver(3_000), is(lessThan(1.25)));
			assertThat(now.momentaryFactorOver(30), is(greaterThan(2.4)));
		}

		// Guards against work that is sent to a machine in a slow moment, and against a
		// replica that is avoided after it.
		@Test
		void areAvoidedWhileTheyLast() {
			state(FIRST, 250);
			state(SECOND, 100);
			state(OF_OTHER_ZONE, 100);
			assertThat(choices(FIRST, 200), is(lessThan(5)));
			WorkTimeTests.this.timer.advance(3_000);
			assertThat(choices(FIRST, 200), is(greaterThan(50)));
		}

		// Guards against a replica that is ejected because of a slow moment that it has
		// stated, and against a faulty one that is not ejected because it states its
		// times.
		@Test
		void areNoFault() {
			for (int i = 0; i < 20; i++) {
				state(FIRST, 250);
				state(SECOND, 100);
				answer(FIRST, MODELLED_MS * 4);
			}
			assertThat(view(FIRST).isEjected(), is(false));
			for (int i = 0; i < 20; i++) {
				state(FIRST, 100);
				state(OF_OTHER_ZONE, 100);
				answer(FIRST, MODELLED_MS);
				answer(OF_OTHER_ZONE, MODELLED_MS);
				answer(SECOND, MODELLED_MS * 12);
			}
			assertThat(view(SECOND).isEjected(), is(true));
		}

		// Guards against instances that see a replica only every few seconds and don't
		// learn of its slow moments, and against the statement of an older load that
		// replaces a newer one.
		@Test
		void areKnownFromOtherInstances() {
			state(FIRST, 100);
			WorkTimeTests.this.timer.advance(500);
			WorkTimeTests.this.index
				.loadsObservedElsewhere(List.of(new ObservedLoad(FIRST, 1, 100, 0.0, 250, null, null)));
			WorkTimeTests.this.index
				.loadsObservedElsewhere(List.of(new ObservedLoad(FIRST, 1, 300, 0.0, 100, null, null)));
			assertThat(workTime(FIRST).statedFactor(), is(2.5));
			assertThat(workTime(FIRST).statedAgeMs(), is(100L));
		}

		// Guards against an instance of an older version, which sends no statements, that
		// ends the placement by them.
		@Test
		void remainKnownIfOlderVersionSendsNone() {
			state(FIRST, 250);
			WorkTimeTests.this.timer.advance(50);
			WorkTimeTests.this.index.loadsObservedElsewhere(List.of(new ObservedLoad(FIRST, 1, 10, 0.0)));
			assertThat(workTime(FIRST).statedFactor(), is(2.5));
		}

	}

	@Nested
	class ScarceCapacity {

		// Guards against turns that are placed by constants of other engines where
		// capacity
		// is scarce, because the replicas don't state how long work takes.
		@Test
		void learnsTimesOfReplicasThatStateNothing() {
			WorkTimeTests.this.index.learnAllWorkTimes();
			for (int i = 0; i < 20; i++) {
				state(FIRST, null);
				state(SECOND, null);
				answer(FIRST, MODELLED_MS / 0.6);
				answer(SECOND, MODELLED_MS / 1.6);
			}
			assertThat(workTime(FIRST).speedFactor(), is(closeTo(1 / 0.6, 0.1)));
			assertThat(workTime(SECOND).speedFactor(), is(closeTo(1 / 1.6, 0.1)));
		}

	}

	@Nested
	class SpeedOfMachines {

		// Guards against machines of different speeds that get equal work.
		@Test
		void isLearnedFromAnswers() {
			for (int i = 0; i < 20; i++) {
				state(FIRST, 100);
				state(SECOND, 100);
				answer(FIRST, MODELLED_MS / 0.6);
				answer(SECOND, MODELLED_MS / 1.6);
			}
			assertThat(workTime(FIRST).speedFactor(), is(closeTo(1 / 0.6, 0.1)));
			assertThat(workTime(SECOND).speedFactor(), is(closeTo(1 / 1.6, 0.1)));
			assertThat(choices(SECOND, 200), is(greaterThan(150)));
		}

		// Guards against a machine that is taken for slow because it was observed in
		// slow moments, which it stated.
		@Test
		void doesNotContainStatedSlowMoments() {
			for (int i = 0; i < 20; i++) {
				state(FIRST, 250);
				double factor = workTime(FIRST).momentaryFactorOver(MODELLED_MS * 2);
				answer(FIRST, MODELLED_MS * factor);
			}
			assertThat(workTime(FIRST).speedFactor(), is(closeTo(1, 0.1)));
		}

		// Guards against an estimate that outlives its evidence, for instance of a
		// machine that was replaced.
		@Test
		void isForgottenOverMinutes() {
			state(FIRST, 100);
			state(SECOND, 100);
			for (int i = 0; i < 50; i++) {
				answer(SECOND, MODELLED_MS);
				answer(FIRST, MODELLED_MS * 2);
				answer(SECOND, MODELLED_MS);
			}
			double learned = workTime(FIRST).speedFactor();
			WorkTimeTests.this.timer.advance(600_000);
			assertThat(learned, is(greaterThan(1.8)));
			assertThat(workTime(FIRST).speedFactor(), is(lessThan(1.5)));
		}

		// Guards against speeds that each of 72 instances must learn by itself from an
		// answer a minute: what an instance has learned since its last report reaches the
		// others, once and in whole, also through a relay.
		@Test
		void isSharedBetweenInstances() {
			ReplicaIndex other = newIndex();
			ObservedLoads relay = new ObservedLoads();
			for (int i = 0; i < 10; i++) {
				state(FIRST, 100);
				answer(FIRST, MODELLED_MS / 0.6);
				if (i % 3 == 0) {
					relay.add(WorkTimeTests.this.index.takeObservedLoads(), WorkTimeTests.this.timer.nowMs());
				}
			}
			other.loadsObservedElsewhere(relay.drain(WorkTimeTests.this.timer.nowMs()));
			ReplicaView view = other.collect("service:m", List.of(), ANSWER_TOKENS, 0, Set.of()).replicas().get(0);
			assertThat(view.id(), is(FIRST));
			WorkTime learned = Objects.requireNonNull(view.workTime());
			assertThat(learned.speedFactor(), is(closeTo(1 / 0.6, 0.1)));
			assertThat(relay.isEmpty(), is(true));
			assertThat(WorkTimeTests.this.index.takeObservedLoads(), is(List.of()));
		}

		// Guards against a nonsensical sample of another instance that spoils the
		// estimate for good.
		@Test
		void ignoresMalformedSamples() {
			state(FIRST, 100);
			WorkTimeTests.this.index
				.loadsObservedElsewhere(List.of(new ObservedLoad(FIRST, 1, 0, 0.0, 100, Double.NaN, 1.0),
						new ObservedLoad(FIRST, 1, 0, 0.0, 100, 1.0, -5.0),
						new ObservedLoad(FIRST, 1, 0, 0.0, 100, 1.0, null)));
			assertThat(workTime(FIRST).speedFactor(), is(closeTo(1, 0.001)));
		}

	}

	@Nested
	class OtherZones {

		// Guards against a zone whose calls queue while machines of another zone are
		// free,
		// and against calls that cross zones without need.
		@Test
		void areUsedIfCrossingIsCheaperThanWaiting() {
			state(FIRST, 100, 0);
			state(SECOND, 100, 0);
			state(OF_OTHER_ZONE, 100, 0);
			assertThat(choices(OF_OTHER_ZONE, 300), is(lessThan(80)));
			state(FIRST, 100, 0);
			WorkTimeTests.this.timer.advance(1);
			state(FIRST, 100, 2 * SLOTS);
			state(SECOND, 100, 2 * SLOTS);
			state(OF_OTHER_ZONE, 100, 0);
			assertThat(choices(OF_OTHER_ZONE, 300), is(greaterThan(290)));
		}

	}

	@Nested
	class Prefills {

		@BeforeEach
		void stateTimes() {
			state(FIRST, 100);
		}

		// Guards against engines that read 40 prompt tokens in a millisecond and are
		// placed as if they read 100, so that turns leave the engine that holds their
		// history.
		@Test
		void areLearnedForThePool() {
			for (int i = 0; i < 60; i++) {
				Reservation reservation = Objects.requireNonNull(WorkTimeTests.this.index.reserve(FIRST, 1_000));
				WorkTimeTests.this.index.recordPrefill(reservation, 3.1 + 1_000 / 40.0);
				WorkTimeTests.this.index.release(reservation);
			}
			assertThat(Objects.requireNonNull(input().times()).prefillFactor(), is(closeTo(2.5, 0.2)));
		}

	}

}
