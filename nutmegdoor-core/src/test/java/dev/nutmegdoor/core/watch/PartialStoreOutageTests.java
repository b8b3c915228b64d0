package dev.nutmegdoor.core.watch;

import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Large deployments in which the store serves some instances and not others. An instance
 * that the store answers has a change in time, whoever watches for it.
 */
class PartialStoreOutageTests {

	/** Time in milliseconds after which a change acts at every instance in touch. */
	private static final long BOUND_MS = 2_000;

	private static final int SIZE = 60;

	/** Numbers of the instances that watch for the first zone. */
	private static final List<Integer> WATCHERS = List.of(0, 3);

	private static final int FOLLOWER = 6;

	private final WatchedFleet fleet = new WatchedFleet(7);

	private void change() {
		this.fleet.put(WatchedFleet.CONFIGURATION, "main");
		this.fleet.put(WatchedFleet.REPLICAS, "r-1");
	}

	private void assertAppliedBut(List<Integer> exceptions) {
		List<String> excepted = exceptions.stream().map((number) -> this.fleet.instance(number).toString()).toList();
		for (String kind : List.of(WatchedFleet.CONFIGURATION, WatchedFleet.REPLICAS)) {
			String name = kind.equals(WatchedFleet.CONFIGURATION) ? "main" : "r-1";
			List<String> outdated = this.fleet.outdated(kind, name)
				.stream()
				.filter((line) -> excepted.stream().noneMatch((id) -> line.startsWith(id + " ")))
				.toList();
			assertThat(outdated, empty());
		}
	}

	@BeforeEach
	void start() {
		change();
		this.fleet.start(SIZE);
		this.fleet.advance(15_000);
	}

	@AfterEach
	void appliesEachChangeOnceAndInOrder() {
		for (WatchedInstance instance : this.fleet.instances.values()) {
			assertThat(instance.faults(), empty());
		}
	}

	@Nested
	class OfTheWatchersOfAZone {

		// Guards against followers that take a watch which has not returned for a sign
		// that nothing has changed.
		@ParameterizedTest
		@ValueSource(longs = { 0, 200, 900, 2_000, 5_000 })
		void appliesChangesWhileStoreAnswersNoWatcher(long beforeMs) {
			PartialStoreOutageTests.this.fleet.setUnanswered(WATCHERS, true);
			PartialStoreOutageTests.this.fleet.advance(beforeMs);
			for (int i = 0; i < 8; i++) {
				change();
				PartialStoreOutageTests.this.fleet.advance(BOUND_MS);
				assertAppliedBut(WATCHERS);
			}
		}

		// Guards against a watcher without answers that alone keeps its followers when
		// the other one ends.
		@Test
		void appliesChangesWhenTheOnlyAnsweredWatcherDies() {
			PartialStoreOutageTests.this.fleet.setUnanswered(List.of(0), true);
			PartialStoreOutageTests.this.fleet.advance(3_000);
			PartialStoreOutageTests.this.fleet.instance(3).host().crash();
			change();
			PartialStoreOutageTests.this.fleet.advance(BOUND_MS);
			assertAppliedBut(List.of(0));
		}

		// Guards against an outage of the watchers that followers take for one of the
		// store, so that they keep replicas which have left.
		@Test
		void isNoOutageOfTheStore() {
			PartialStoreOutageTests.this.fleet.setRejected(WATCHERS, true);
			PartialStoreOutageTests.this.fleet.advance(BOUND_MS);
			for (int i = 0; i < 30; i++) {
				PartialStoreOutageTests.this.fleet.advance(500);
				for (WatchedInstance instance : PartialStoreOutageTests.this.fleet.running()) {
					if (!WATCHERS.contains(instance.number())) {
						assertThat(instance + " " + instance.sharing().dump(), instance.health().timeSinceOutageMs(),
								greaterThan(60_000L));
					}
				}
			}
		}

	}

	@Nested
	class WithLateMessages {

		// Guards against messages whose age is counted from their arrival while a queue
		// grows.
		@Test
		void appliesChangesWhileLinksOfTheWatchersBecomeSlower() {
			for (int delayMs = 0; delayMs < 5_000; delayMs += 200) {
				for (int number : WATCHERS) {
					PartialStoreOutageTests.this.fleet.setAdditionalDelay(number, delayMs);
				}
				PartialStoreOutageTests.this.fleet.advance(400);
			}
			for (int i = 0; i < 8; i++) {
				change();
				PartialStoreOutageTests.this.fleet.advance(BOUND_MS);
				assertAppliedBut(List.of());
			}
		}

		// Guards against messages that a process reads after a freeze and takes for new.
		@Test
		void appliesChangesAfterFreezeInWhichTheWatchersDied() {
			WatchedInstance follower = PartialStoreOutageTests.this.fleet.instance(FOLLOWER);
			follower.host().pause();
			PartialStoreOutageTests.this.fleet.advance(2_500);
			WATCHERS.forEach((number) -> PartialStoreOutageTests.this.fleet.instance(number).host().crash());
			change();
			PartialStoreOutageTests.this.fleet.advance(3_000);
			follower.host().resume();
			PartialStoreOutageTests.this.fleet.advance(500);
			assertAppliedBut(List.of());
		}

	}

	@Nested
	class OfAnyInstances {

		// Guards against any mix of unanswered, rejected, frozen, slow and ended
		// instances that leaves one which the store answers behind for too long.
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
		void appliesChangesAtInstancesInTouch(long seed) {
			assertThat("seed " + seed, new StoreOutageSimulation(seed, BOUND_MS).run(), is(empty()));
		}

	}

}
