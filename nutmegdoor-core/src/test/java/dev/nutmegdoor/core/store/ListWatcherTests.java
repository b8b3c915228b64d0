package dev.nutmegdoor.core.store;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class ListWatcherTests implements KindListener {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0);

	private final ObjectStore client = this.store.clientOf(this.host);

	private final List<String> observedValues = new ArrayList<>();

	private String failingValue = "";

	private String errorValue = "";

	private int listCount;

	private void start() {
		start(0);
	}

	private void start(long batchDelayMs) {
		new ListWatcher(this.client, this.host, this.random, new StoreHealth(this.host), EventLog.NONE, "k", 30_000,
				batchDelayMs, this)
			.start();
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

}
