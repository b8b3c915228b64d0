package dev.nutmegdoor.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ListWatcherTests implements KindListener {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0);

	private final ObjectStore client = this.store.clientOf(this.host);

	private final StoreHealth health = new StoreHealth(this.host);

	private final List<String> observedValues = new ArrayList<>();

	private String failingValue = "";

	private String errorValue = "";

	private int listCount;

	private void start() {
		start(0);
	}

	private ListWatcher start(long batchDelayMs) {
		ListWatcher watcher = new ListWatcher(this.client, this.host, this.random, this.health, EventLog.NONE, "k",
				30_000, batchDelayMs, this);
		watcher.start();
		return watcher;
	}

	@Override
	public void listed(List<StoredObject> objects) {
		this.listCount++;
		objects.forEach((object) -> this.observedValues.add(object.value()));
	}

	@Override
	public void changed(List<StoreEvent> changes) {
		changes.forEach((change) -> {
			if (this.failingValue.equals(change.value())) {
				throw new IllegalArgumentException(this.failingValue);
			}
			if (this.errorValue.equals(change.value())) {
				throw new StackOverflowError(this.errorValue);
			}
			this.observedValues.add(change.value());
		});
	}

	// Guards against a watch that ends for good because of one object that its listener
	// can't handle.
	@Test
	void goesOnAfterListenerFailed() {
		this.client.create("k", "one", "first");
		this.failingValue = "bad";
		start();
		this.timer.advance(1_000);
		this.client.create("k", "two", "bad");
		this.timer.advance(1_000);
		this.client.create("k", "three", "last");
		this.timer.advance(1_000);
		assertThat(this.observedValues, is(List.of("first", "last")));
	}

	// Guards against a watch that ends for good because an object exhausts the stack of
	// its listener.
	@Test
	void goesOnAfterListenerThrewError() {
		this.client.create("k", "one", "first");
		this.errorValue = "deep";
		start();
		this.timer.advance(1_000);
		this.client.create("k", "two", "deep");
		this.timer.advance(1_000);
		this.client.create("k", "three", "last");
		this.timer.advance(1_000);
		assertThat(this.observedValues, is(List.of("first", "last")));
	}

	// Guards against a watch that ends for good at the loss of the store, because a
	// listener of interruptions fails.
	@Test
	void goesOnAfterListenerOfInterruptionsFailed() {
		start(0).subscribe(new InterruptionListener() {

			@Override
			public void interrupted() {
				throw new IllegalStateException("interrupted");
			}

			@Override
			public void listed() {
				throw new IllegalStateException("listed");
			}

		});
		this.timer.advance(1_000);
		this.store.setAvailable(false);
		this.timer.advance(5_000);
		this.store.setAvailable(true);
		this.client.create("k", "n", "new");
		this.timer.advance(2_000);
		assertThat(this.observedValues, hasItem("new"));
	}

	// Guards against a change that is received too late after an outage to be applied
	// within 2 s of the store's recovery, because the backoff has become too long.
	@Test
	void receivesChangesSoonAfterOutage() {
		start();
		this.timer.advance(1_000);
		this.store.setAvailable(false);
		this.timer.advance(20_000);
		this.store.setAvailable(true);
		this.client.create("k", "n", "new");
		this.timer.advance(1_500);
		assertThat(this.observedValues, hasItem("new"));
	}

	// Guards against objects that are missed because they exist before the watcher
	// starts, and against a second list call where a watch is sufficient.
	@Test
	void listsOnceAndThenWatches() {
		this.client.create("k", "old", "old");
		this.timer.advance(10);
		start();
		this.timer.advance(100);
		this.client.create("k", "n", "new");
		this.timer.advance(100);
		assertThat(this.observedValues, is(List.of("old", "new")));
		assertThat(this.listCount, is(1));
	}

	// Guards against an old list that replaces changes which were applied already, after
	// the store has dropped its history.
	@Test
	void listsCurrentObjectsAfterTheHistoryIsGone() {
		start();
		this.timer.advance(1_000);
		this.store.setAvailable(false);
		this.timer.advance(2_000);
		this.store.setAvailable(true);
		this.client.create("k", "n", "new");
		this.timer.advance(5);
		this.store.discardHistory();
		this.timer.advance(3_000);
		assertThat(this.observedValues, is(List.of("new")));
		assertThat(this.store.calls("list"), is(2L));
	}

	// Guards against a call rate that exceeds the platform's limit when many replicas
	// start together and each instance makes a call for each of them.
	@Test
	void batchesConsecutiveChanges() {
		start(250);
		this.timer.advance(100);
		long callsBefore = this.store.calls();
		for (int i = 0; i < 20; i++) {
			this.client.create("k", "n" + i, "v" + i);
			this.timer.advance(20);
		}
		this.timer.advance(1_000);
		assertThat(this.observedValues, hasItem("v19"));
		assertThat(this.store.calls() - callsBefore - 20, lessThanOrEqualTo(5L));
	}

	@Nested
	class Confirmation {

		private static final long BATCH_DELAY_MS = 1_000;

		private final ListWatcher watcher = start(BATCH_DELAY_MS);

		private boolean confirm() {
			CompletableFuture<Boolean> confirmation = this.watcher.confirm();
			ListWatcherTests.this.timer.advance(Confirmations.TIMEOUT_MS);
			assertThat(confirmation.isDone(), is(true));
			return confirmation.join();
		}

		private void create(String value) {
			ListWatcherTests.this.client.create("k", value, value);
			ListWatcherTests.this.timer.advance(30);
		}

		// Guards against a list that passes for confirmed although the last changes are
		// missing, and against changes that are applied twice.
		@Test
		void appliesMissingChangesOnce() {
			ListWatcherTests.this.timer.advance(100);
			create("first");
			create("second");
			assertThat(ListWatcherTests.this.observedValues, is(List.of("first")));
			CompletableFuture<List<String>> whenConfirmed = this.watcher.confirm()
				.thenApply((isConfirmed) -> List.copyOf(ListWatcherTests.this.observedValues));
			ListWatcherTests.this.timer.advance(Confirmations.TIMEOUT_MS);
			assertThat(whenConfirmed.join(), is(List.of("first", "second")));
			ListWatcherTests.this.timer.advance(3_000);
			assertThat(ListWatcherTests.this.observedValues, is(List.of("first", "second")));
		}

		// Guards against a change that is applied again on top of a later one, or missed,
		// when a watch in flight and a confirmation both report it.
		@Test
		void keepsOrderOfChangesWithWatchInFlight() {
			ListWatcherTests.this.store.setFaults(new StoreFaults(1, 40, 0, Integer.MAX_VALUE));
			ListWatcherTests.this.timer.advance(200);
			List<String> expected = new ArrayList<>();
			for (int i = 0; i < 100; i++) {
				String value = "v" + i;
				expected.add(value);
				ListWatcherTests.this.client.create("k", value, value);
				this.watcher.confirm();
				ListWatcherTests.this.timer.advance(170);
			}
			ListWatcherTests.this.timer.advance(5_000);
			assertThat(ListWatcherTests.this.observedValues, is(expected));
		}

		// Guards against an old list that passes for confirmed.
		@Test
		void failsWithoutList() {
			assertThat(confirm(), is(false));
			assertThat(confirm(), is(true));
			ListWatcherTests.this.store.setAvailable(false);
			assertThat(confirm(), is(false));
			ListWatcherTests.this.timer.advance(1_000);
			assertThat(this.watcher.isFollowed(), is(false));
			ListWatcherTests.this.timer.advance(10_000);
			assertThat(confirm(), is(false));
			ListWatcherTests.this.store.setAvailable(true);
			ListWatcherTests.this.timer.advance(3_000);
			assertThat(confirm(), is(true));
			assertThat(this.watcher.isFollowed(), is(true));
		}

		// Guards against a rejected confirmation that passes for an outage of the store.
		@Test
		void leavesHealthToWatch() {
			ListWatcherTests.this.timer.advance(100);
			ListWatcherTests.this.store.setFaults(new StoreFaults(1, 0, 0, 0));
			assertThat(confirm(), is(false));
			assertThat(this.watcher.isFollowed(), is(false));
			assertThat(ListWatcherTests.this.health.timeSinceFailureMs(), greaterThan(1_000_000L));
			ListWatcherTests.this.store.setFaults(StoreFaults.NONE);
			assertThat(confirm(), is(true));
			assertThat(this.watcher.isFollowed(), is(true));
		}

		// Guards against a call of the store for each stream that is taken up.
		@Test
		void sharesCalls() {
			ListWatcherTests.this.timer.advance(100);
			long callsBefore = ListWatcherTests.this.store.calls();
			List<CompletableFuture<Boolean>> confirmations = new ArrayList<>();
			for (int i = 0; i < 500; i++) {
				confirmations.add(this.watcher.confirm());
				ListWatcherTests.this.timer.advance(2);
			}
			ListWatcherTests.this.timer.advance(Confirmations.TIMEOUT_MS);
			assertThat(confirmations.stream().filter(CompletableFuture::join).count(), is(500L));
			assertThat(ListWatcherTests.this.store.calls() - callsBefore, lessThanOrEqualTo(12L));
		}

		// Guards against a request that is answered by a call which the store has
		// executed before the request.
		@Test
		void isAnsweredByCallThatBeginsLater() {
			ListWatcherTests.this.timer.advance(100);
			create("first");
			ListWatcherTests.this.store.setFaults(new StoreFaults(50, 0, 0, Integer.MAX_VALUE));
			this.watcher.confirm();
			ListWatcherTests.this.timer.advance(75);
			ListWatcherTests.this.client.create("k", "second", "second");
			ListWatcherTests.this.timer.advance(60);
			assertThat(confirm(), is(true));
			assertThat(ListWatcherTests.this.observedValues, is(List.of("first", "second")));
		}

		// Guards against other lists that pass for complete because this one is confirmed
		// for a later time than its revision.
		@Test
		void reachesRevisionOfTheStoreWhenAnotherInstanceBringsAnEarlierOneMeanwhile() {
			ListWatcherTests.this.timer.advance(100);
			long revision = this.watcher.revision();
			ListWatcherTests.this.client.create("other", "one", "first");
			ListWatcherTests.this.client.create("other", "two", "second");
			ListWatcherTests.this.store.setFaults(new StoreFaults(50, 0, 0, Integer.MAX_VALUE));
			this.watcher.confirm();
			long askedMs = ListWatcherTests.this.host.nowMs();
			ListWatcherTests.this.timer.advance(75);
			this.watcher.applyShared(revision, revision + 1, 0, List.of());
			ListWatcherTests.this.timer.advance(100);
			assertThat(this.watcher.verifiedMs(), is(askedMs));
			assertThat(this.watcher.revision(), is(revision + 2));
		}

	}

}
