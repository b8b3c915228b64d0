package dev.nutmegdoor.core.watch;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class SharedListTests implements KindListener {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0);

	private final ListWatcher watcher = new ListWatcher(this.store.clientOf(this.host), this.host, this.random,
			new StoreHealth(this.host), EventLog.NONE, "k", 30_000, 0, this);

	private final SharedList list = new SharedList(this.watcher, this.host, SharedWatchSettings.forBound(2_000));

	@Override
	public void listed(List<StoredObject> objects) {
	}

	@Override
	public void changed(List<StoreEvent> changes) {
	}

	@BeforeEach
	void start() {
		this.watcher.start();
		this.timer.advance(100);
		this.list.recordShared(50);
	}

	// Guards against a follower that rests although it knows that it lacks a change.
	@Test
	void isNotShownWhileAChangeIsMissing() {
		assertThat(this.list.sharedVerifiedMs(), is(50L));
		this.list.recordMissing(this.watcher.revision() + 1);
		assertThat(this.list.sharedVerifiedMs(), is(WatchSource.NEVER_MS));
		this.store.clientOf(this.host).create("k", "one", "first");
		this.timer.advance(100);
		assertThat(this.list.sharedVerifiedMs(), is(50L));
	}

	// Guards against a follower that watches the store for good because it waits for a
	// revision from before the store was restored.
	@Test
	void isShownAfterListWithLowerRevision() {
		this.list.recordMissing(this.watcher.revision() + 1_000);
		this.list.listed(this.watcher.revision());
		assertThat(this.list.sharedVerifiedMs(), is(50L));
	}

}
