package dev.nutmegdoor.core.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class SharedWatchesTests {

	/** Time in milliseconds after which a change acts at every instance. */
	private static final long BOUND_MS = 2_000;

	private static final int SIZE = 60;

	private static final int WATCHERS = 6;

	private WatchedFleet fleet = new WatchedFleet(7);

	private static List<String> faultsOf(WatchedFleet fleet) {
		List<String> faults = new ArrayList<>();
		fleet.instances.values().forEach((instance) -> faults.addAll(instance.faults()));
		return faults;
	}

	private void startAndSettle(int count) {
		this.fleet.put(WatchedFleet.REPLICAS, "r-1");
		this.fleet.put(WatchedFleet.REPLICAS, "r-2");
		this.fleet.put(WatchedFleet.CONFIGURATION, "main");
		this.fleet.start(count);
		this.fleet.advance(15_000);
	}

	private void assertApplied(long limitMs) {
		this.fleet.advance(limitMs);
		assertThat(this.fleet.outdated(WatchedFleet.REPLICAS, "r-1"), empty());
		assertThat(this.fleet.outdated(WatchedFleet.REPLICAS, "r-2"), empty());
		assertThat(this.fleet.outdated(WatchedFleet.CONFIGURATION, "main"), empty());
	}

	private void change() {
		this.fleet.put(WatchedFleet.CONFIGURATION, "main");
		this.fleet.put(WatchedFleet.REPLICAS, "r-1");
	}

	// Guards against a change that is applied twice or after a later one, whatever has
	// failed.
	@AfterEach
	void appliesEachChangeOnceAndInOrder() {
		assertThat(faultsOf(this.fleet), empty());
	}

	@Nested
	class InSmallDeployment {

		@BeforeEach
		void start() {
			startAndSettle(16);
		}

		// Guards against messages and timers in deployments that need no sharing.
		@Test
		void sendsNothingAndWatchesAsBefore() {
			assertThat(SharedWatchesTests.this.fleet.network.sentMessages(), is(0L));
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.DIRECT), is(16L));
			assertThat(SharedWatchesTests.this.fleet.watchesOf(20_000), is(2L * 2 * 16));
		}

		// Guards against instances that stay followers after the deployment has become
		// small, or never become followers when it grows.
		@Test
		void beginsToShareWhenItGrows() {
			SharedWatchesTests.this.fleet.start(SIZE - 16);
			SharedWatchesTests.this.fleet.advance(15_000);
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.WATCHER), is((long) WATCHERS));
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.FOLLOWER), is((long) SIZE - WATCHERS));
			change();
			assertApplied(BOUND_MS);
		}

	}

	@Nested
	class InLargeDeployment {

		@BeforeEach
		void start() {
			startAndSettle(SIZE);
		}

		// Guards against instances that go on watching for themselves, which costs a call
		// for each change and each wait.
		@Test
		void makesCallsOfTwoInstancesPerZoneOnly() {
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.WATCHER), is((long) WATCHERS));
			assertThat(SharedWatchesTests.this.fleet.watchesOf(20_000),
					lessThanOrEqualTo(2L * 2 * WATCHERS + 4 + proofsOf(20_000)));
			long before = SharedWatchesTests.this.fleet.store.calls("watch");
			for (int i = 0; i < 10; i++) {
				change();
				SharedWatchesTests.this.fleet.advance(2_000);
			}
			assertThat(SharedWatchesTests.this.fleet.store.calls("watch") - before,
					lessThanOrEqualTo(2L * WATCHERS * (10 + 4) + proofsOf(20_000)));
			assertThat(SharedWatchesTests.this.fleet.store.calls("list"), is(2L * SIZE));
		}

		// Guards against changes that followers get later than if they watched.
		@Test
		void appliesChangesInTime() {
			for (int i = 0; i < 20; i++) {
				change();
				SharedWatchesTests.this.fleet.delete(WatchedFleet.REPLICAS, "r-2");
				SharedWatchesTests.this.fleet.put(WatchedFleet.REPLICAS, "r-2");
				assertApplied(1_200);
			}
		}

		// Guards against a deletion that followers skip as an old change, because the
		// store reports it with the revision of the deleted object.
		@Test
		void appliesDeletionThatIsReportedWithOldRevision() {
			SharedWatchesTests.this.fleet.store.setDeletionsReportedWithOldVersion(true);
			SharedWatchesTests.this.fleet.delete(WatchedFleet.REPLICAS, "r-1");
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.put(WatchedFleet.REPLICAS, "r-3");
			SharedWatchesTests.this.fleet.delete(WatchedFleet.REPLICAS, "r-3");
			SharedWatchesTests.this.fleet.advance(BOUND_MS);
			assertThat(SharedWatchesTests.this.fleet.outdated(WatchedFleet.REPLICAS, "r-3"), empty());
		}

		// Guards against followers that depend on one watching instance.
		@Test
		void goesOnWithoutFallbackWhenOneWatcherOfAZoneDies() {
			SharedWatchesTests.this.fleet.instance(0).host().crash();
			change();
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.advance(10_000);
			assertThat(fallbacks(), is(0L));
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.WATCHER), is((long) WATCHERS));
		}

		// Guards against followers that wait for dead instances.
		@Test
		void watchesItselfWhenBothWatchersOfAZoneDie() {
			SharedWatchesTests.this.fleet.instance(0).host().crash();
			SharedWatchesTests.this.fleet.instance(3).host().crash();
			change();
			assertApplied(BOUND_MS);
			assertThat(fallbacks(), greaterThan(0L));
			SharedWatchesTests.this.fleet.advance(30_000);
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.WATCHER), is((long) WATCHERS));
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.FALLBACK), is(0L));
		}

		// Guards against an instance that hangs and resumes with old changes.
		@Test
		void survivesWatchersThatHangAndResume() {
			SharedWatchesTests.this.fleet.instance(0).host().pause();
			SharedWatchesTests.this.fleet.instance(3).host().pause();
			change();
			SharedWatchesTests.this.fleet.advance(BOUND_MS);
			List<String> outdated = SharedWatchesTests.this.fleet.outdated(WatchedFleet.REPLICAS, "r-1");
			assertThat(outdated.size(), is(2));
			SharedWatchesTests.this.fleet.advance(4_000);
			SharedWatchesTests.this.fleet.instance(0).host().resume();
			SharedWatchesTests.this.fleet.instance(3).host().resume();
			change();
			assertApplied(BOUND_MS + WatchedInstance.WATCH_MS);
		}

		// Guards against followers that trust instances which the store does not answer.
		@Test
		void choosesOthersWhenTheStoreRejectsBothWatchers() {
			SharedWatchesTests.this.fleet.store.setRejected(SharedWatchesTests.this.fleet.instance(0).id(), true);
			SharedWatchesTests.this.fleet.store.setRejected(SharedWatchesTests.this.fleet.instance(3).id(), true);
			change();
			SharedWatchesTests.this.fleet.advance(BOUND_MS);
			assertThat(SharedWatchesTests.this.fleet.outdated(WatchedFleet.REPLICAS, "r-1").size(),
					lessThanOrEqualTo(2));
			SharedWatchesTests.this.fleet.advance(15_000);
			// The rejected instances follow the others now.
			change();
			assertApplied(BOUND_MS);
			assertThat(SharedWatchesTests.this.fleet.watchesOf(20_000), lessThan(300L + proofsOf(20_000)));
		}

		// Guards against an outage that a rejected instance reports and that makes
		// followers keep replicas which are gone.
		@Test
		void takesRejectionOfOneWatcherForNoOutage() {
			SharedWatchesTests.this.fleet.store.setRejected(SharedWatchesTests.this.fleet.instance(0).id(), true);
			SharedWatchesTests.this.fleet.advance(5_000);
			assertThat(SharedWatchesTests.this.fleet.instance(6).health().timeSinceOutageMs(), greaterThan(60_000L));
		}

		// Guards against replicas that followers remove after an outage which was too
		// short
		// for them to make calls themselves.
		@Test
		void learnsShortOutageFromWatchers() {
			long checked = 0;
			for (long seed = 1; seed <= 8; seed++) {
				SharedWatchesTests.this.fleet = new WatchedFleet(seed);
				startAndSettle(SIZE);
				checked += followersThatLearnedOutage();
			}
			assertThat(checked, greaterThan(SIZE / 2L));
		}

		private long followersThatLearnedOutage() {
			WatchedFleet fleet = SharedWatchesTests.this.fleet;
			List<Integer> all = IntStream.range(0, SIZE).boxed().toList();
			for (int i = 0; i < 100 && fleet.instance(6).verifiedAgeMs() > 50; i++) {
				fleet.advance(20);
			}
			List<Long> fallbacks = fleet.running().stream().map((instance) -> instance.sharing().fallbacks()).toList();
			fleet.setRejected(all, true);
			fleet.advance(600);
			fleet.setRejected(all, false);
			fleet.advance(1_500);
			long checked = 0;
			for (WatchedInstance instance : fleet.running()) {
				boolean hasCalled = instance.sharing().fallbacks() > fallbacks.get(instance.number());
				if (instance.sharing().role() == WatchRole.FOLLOWER && !hasCalled) {
					assertThat(instance + " " + instance.sharing().dump(), instance.health().timeSinceOutageMs(),
							lessThan(2_000L));
					checked++;
				}
			}
			return checked;
		}

		// Guards against a watching instance that is heard but gets no answer from the
		// store.
		@Test
		void appliesChangesWhenTheStoreAnswersOneWatcherNoMore() {
			SharedWatchesTests.this.fleet.store.setUnanswered(SharedWatchesTests.this.fleet.instance(3).id(), true);
			change();
			SharedWatchesTests.this.fleet.advance(BOUND_MS);
			assertThat(SharedWatchesTests.this.fleet.outdated(WatchedFleet.REPLICAS, "r-1").size(),
					lessThanOrEqualTo(1));
		}

		// Guards against followers that can't reach the watching instances although these
		// reach the store.
		@Test
		void watchesItselfWhenCutOffFromWatchers() {
			for (int watcher : List.of(0, 3)) {
				SharedWatchesTests.this.fleet.network.setCut(SharedWatchesTests.this.fleet.instance(watcher).id(),
						SharedWatchesTests.this.fleet.instance(6).id(), true);
			}
			change();
			assertApplied(BOUND_MS);
			assertThat(SharedWatchesTests.this.fleet.instance(6).sharing().fallbacks(), greaterThanOrEqualTo(1L));
		}

		// Guards against a follower that serves with an old list while its zone is cut
		// off
		// from the store, and against one that does not notice the end.
		@Test
		void resumesAfterZoneWasCutOff() {
			AvailabilityZone zone = new AvailabilityZone("a");
			SharedWatchesTests.this.fleet.store.setCut(zone, true);
			SharedWatchesTests.this.fleet.network.setCut(zone, new AvailabilityZone("b"), true);
			SharedWatchesTests.this.fleet.network.setCut(zone, new AvailabilityZone("c"), true);
			SharedWatchesTests.this.fleet.advance(6_000);
			change();
			SharedWatchesTests.this.fleet.store.setCut(zone, false);
			SharedWatchesTests.this.fleet.network.setCut(zone, new AvailabilityZone("b"), false);
			SharedWatchesTests.this.fleet.network.setCut(zone, new AvailabilityZone("c"), false);
			assertApplied(BOUND_MS + 500);
		}

		// Guards against replicas that followers remove after an outage of the store
		// because they have not noticed it.
		@ParameterizedTest
		@ValueSource(longs = { 700, 1_500, 6_000, 20_000 })
		void noticesOutage(long outageMs) {
			SharedWatchesTests.this.fleet.store.setAvailable(false);
			SharedWatchesTests.this.fleet.advance(outageMs);
			SharedWatchesTests.this.fleet.store.setAvailable(true);
			SharedWatchesTests.this.fleet.advance(10);
			change();
			assertApplied(BOUND_MS + 500);
			if (outageMs > 1_500) {
				for (WatchedInstance instance : SharedWatchesTests.this.fleet.running()) {
					assertThat(instance + " " + instance.sharing().dump(), instance.health().timeSinceOutageMs(),
							lessThan(5_000L));
				}
			}
			SharedWatchesTests.this.fleet.advance(30_000);
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.WATCHER), lessThanOrEqualTo(WATCHERS + 3L));
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.FALLBACK), is(0L));
		}

		// Guards against changes that are lost with the history of the store.
		@Test
		void appliesChangesWhenTheHistoryIsGone() {
			SharedWatchesTests.this.fleet.store.setAvailable(false);
			SharedWatchesTests.this.fleet.advance(100);
			SharedWatchesTests.this.fleet.store.setAvailable(true);
			change();
			SharedWatchesTests.this.fleet.store.discardHistory();
			assertApplied(BOUND_MS + 500);
			change();
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.advance(15_000);
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.FOLLOWER), is((long) SIZE - WATCHERS));
		}

		// Guards against a follower that restarts and lists for seconds, or that its old
		// run's messages confuse.
		@Test
		void followsAgainAfterRestart() {
			change();
			WatchedInstance follower = SharedWatchesTests.this.fleet.restart(30);
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.advance(12_000);
			assertThat(follower.sharing().role(), is(WatchRole.FOLLOWER));
			WatchedInstance watcher = SharedWatchesTests.this.fleet.restart(0);
			change();
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.advance(12_000);
			assertThat(watcher.sharing().role(), is(WatchRole.WATCHER));
		}

		// Guards against a change that is too long for a message and therefore reaches
		// only the watching instances, and against unbounded memory for it.
		@Test
		void readsLongChangesFromTheStore() {
			SharedWatchesTests.this.fleet.put(WatchedFleet.CONFIGURATION, "main",
					" ".repeat(SharedWatchSettings.forBound(BOUND_MS).bufferedLength()) + "1000000");
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.put(WatchedFleet.CONFIGURATION, "main", "1000001");
			assertApplied(BOUND_MS);
			SharedWatchesTests.this.fleet.advance(25_000);
			assertThat(SharedWatchesTests.this.fleet.count(WatchRole.FOLLOWER), is((long) SIZE - WATCHERS));
		}

		// One instance of each zone asks, once for all kinds.
		private long proofsOf(long durationMs) {
			return WatchedFleet.ZONES.size() * durationMs / SharedWatchSettings.forBound(BOUND_MS).verifyMs();
		}

		private long fallbacks() {
			return SharedWatchesTests.this.fleet.running()
				.stream()
				.mapToLong((instance) -> instance.sharing().fallbacks())
				.sum();
		}

	}

	@Nested
	class WithDifferingViews {

		// Guards against instances that follow nobody, or each other, while they know
		// different parts of the deployment.
		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5 })
		void appliesChangesWhileMembershipGrows(long seed) {
			SharedWatchesTests.this.fleet = new WatchedFleet(seed);
			WatchedFleet fleet = SharedWatchesTests.this.fleet;
			fleet.put(WatchedFleet.REPLICAS, "r-1");
			fleet.put(WatchedFleet.REPLICAS, "r-2");
			fleet.put(WatchedFleet.CONFIGURATION, "main");
			for (int i = 0; i < SIZE; i++) {
				WatchedInstance added = fleet.add(i, true);
				for (WatchedInstance other : fleet.running()) {
					if (fleet.random.nextDouble() < 0.7) {
						added.learn(other);
					}
					if (fleet.random.nextDouble() < 0.4) {
						other.learn(added);
					}
				}
				change();
				assertApplied(1_500);
			}
		}

		// Guards against followers that rely on instances of an older version, which send
		// nothing.
		@Test
		void passesOverInstancesThatDoNotShare() {
			WatchedFleet fleet = SharedWatchesTests.this.fleet;
			fleet.put(WatchedFleet.REPLICAS, "r-1");
			fleet.put(WatchedFleet.REPLICAS, "r-2");
			fleet.put(WatchedFleet.CONFIGURATION, "main");
			for (int i = 0; i < SIZE; i++) {
				fleet.add(i, i > 5);
			}
			fleet.introduceAll();
			fleet.advance(5_000);
			change();
			assertApplied(BOUND_MS);
			fleet.advance(60_000);
			long fallbacks = fleet.running().stream().mapToLong((instance) -> instance.sharing().fallbacks()).sum();
			fleet.advance(120_000);
			assertThat(fleet.running().stream().mapToLong((instance) -> instance.sharing().fallbacks()).sum(),
					is(fallbacks));
			assertThat(fleet.count(WatchRole.FOLLOWER), is(SIZE - 6L - WATCHERS));
		}

	}

	@Nested
	class WithLossyLinks {

		// Guards against lost, repeated and reordered messages that lose a change or
		// apply one twice. All changes arrive as soon as the links are reliable again.
		@ParameterizedTest
		@ValueSource(longs = { 11, 12, 13, 14, 15, 16 })
		void appliesAllChangesAtRandomFaults(long seed) {
			SharedWatchesTests.this.fleet = new WatchedFleet(seed);
			WatchedFleet fleet = SharedWatchesTests.this.fleet;
			startAndSettle(30);
			fleet.network.setSettings(new LinkSettings(1, 4, 30, 0.2, 0.1));
			fleet.store.setDeletionsReportedWithOldVersion(seed % 2 == 0);
			for (int i = 0; i < 60; i++) {
				int number = fleet.random.nextInt(12);
				double choice = fleet.random.nextDouble();
				if (choice < 0.1) {
					fleet.store.setRejected(fleet.instance(number).id(), fleet.random.nextBoolean());
				}
				else if (choice < 0.2) {
					fleet.restart(number);
				}
				else if (choice < 0.25) {
					fleet.store.discardHistory();
				}
				else if (choice < 0.3) {
					fleet.store.loseWatchResponses(3);
				}
				else if (choice < 0.4) {
					fleet.delete(WatchedFleet.REPLICAS, "r-2");
				}
				else {
					change();
					fleet.put(WatchedFleet.REPLICAS, "r-2");
				}
				fleet.advance(fleet.random.nextInt(1_500));
			}
			fleet.network.setSettings(LinkSettings.RELIABLE);
			for (int i = 0; i < 12; i++) {
				fleet.store.setRejected(fleet.instance(i).id(), false);
			}
			change();
			assertApplied(3_500);
		}

	}

}
