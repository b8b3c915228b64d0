package dev.nutmegdoor.core.fake;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class FakeObjectStoreTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(1),
			StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i-1"), new AvailabilityZone("a"), 0);

	private final ObjectStore client = this.store.clientOf(this.host);

	private <T> T await(CompletableFuture<T> future) {
		this.timer.advance(5_000);
		return future.join();
	}

	private StoreFailure awaitFailure(CompletableFuture<?> future) {
		CompletionException ex = assertThrows(CompletionException.class, () -> await(future));
		return ((StoreException) ex.getCause()).failure();
	}

	@Nested
	class ConditionalUpdates {

		// Guards against concurrent writers that overwrite each other's changes
		// unnoticed.
		@Test
		void rejectsUpdateWithOutdatedVersion() {
			StoredObject created = await(FakeObjectStoreTests.this.client.create("k", "n", "1"));
			await(FakeObjectStoreTests.this.client.update("k", "n", created.version(), "2"));
			assertThat(awaitFailure(FakeObjectStoreTests.this.client.update("k", "n", created.version(), "3")),
					is(StoreFailure.CONFLICT));
		}

		// Guards against tests that never exercise changes that took effect although
		// their response was lost.
		@Test
		void appliesChangeWhenResponseIsLost() {
			FakeObjectStoreTests.this.store.setFaults(new StoreFaults(1, 0, 1, Integer.MAX_VALUE));
			assertThat(awaitFailure(FakeObjectStoreTests.this.client.create("k", "n", "1")),
					is(StoreFailure.OUTCOME_UNKNOWN));
			assertThat(await(FakeObjectStoreTests.this.client.get("k", "n")).value(), is("1"));
		}

	}

	@Nested
	class Watches {

		// Guards against a watch that misses a change made while the watch is pending.
		@Test
		void reportsChangeMadeWhileWatchIsPending() {
			CompletableFuture<StoreWatchResult> watch = FakeObjectStoreTests.this.client.watch("k", 0, 10_000);
			FakeObjectStoreTests.this.client.create("k", "n", "1");
			assertThat(await(watch).events(), hasSize(1));
		}

	}

	@Nested
	class Outages {

		// Guards against a write that takes effect although the store is unavailable.
		@Test
		void failsCallsWithoutEffect() {
			FakeObjectStoreTests.this.store.setAvailable(false);
			assertThat(awaitFailure(FakeObjectStoreTests.this.client.create("k", "n", "1")),
					is(StoreFailure.UNAVAILABLE));
			FakeObjectStoreTests.this.store.setAvailable(true);
			assertThat(awaitFailure(FakeObjectStoreTests.this.client.get("k", "n")), is(StoreFailure.NOT_FOUND));
		}

	}

}
