package dev.nutmegdoor.standin.platform;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import reactor.netty.http.HttpResources;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.membership.StoredInstanceRegistry;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;
import dev.nutmegdoor.core.store.StoreWatchResult;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.platform.HttpObjectStore;
import dev.nutmegdoor.platform.PlatformEndpoint;
import dev.nutmegdoor.platform.PlatformHttp;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PlatformStandinTests {

	private static final long FAULT_MS = 600_000;

	private final ExecutorService control = Executors.newSingleThreadExecutor();

	private PlatformStandin platform = PlatformStandin.start(settings(1_000));

	private PlatformHttp http = connect();

	private ObjectStore store = new HttpObjectStore(this.http, EventLog.NONE);

	private static PlatformStandinSettings settings(int writesPerSecond) {
		return new PlatformStandinSettings("127.0.0.1", 0, 1, 2_000, writesPerSecond, 0, 0, 10, List.of());
	}

	private PlatformHttp connect() {
		return new PlatformHttp(new PlatformEndpoint("127.0.0.1", this.platform.address().getPort(), 1_000, 5_000),
				this.control, HttpResources.get());
	}

	private void restart(PlatformStandinSettings settings) {
		stop();
		this.platform = PlatformStandin.start(settings);
		this.http = connect();
		this.store = new HttpObjectStore(this.http, EventLog.NONE);
	}

	private void stop() {
		this.http.close();
		this.platform.close();
	}

	@AfterEach
	void close() {
		stop();
		this.control.shutdown();
	}

	private static StoreFailure failureOf(CompletableFuture<?> future) {
		CompletionException ex = assertThrows(CompletionException.class, future::join);
		return ((StoreException) ex.getCause()).failure();
	}

	@Nested
	class ConditionalChanges {

		// Guards against two concurrent writers whose changes both succeed, so that one
		// overwrites the other.
		@Test
		void reportsConflictOnStaleVersionAndExistingName() {
			ObjectStore store = PlatformStandinTests.this.store;
			StoredObject created = store.create("k", "n \u00e9+%", "{\"a\":\"\u00e9\"}").join();
			StoredObject updated = store.update("k", "n \u00e9+%", created.version(), "2").join();
			assertThat(failureOf(store.create("k", "n \u00e9+%", "3")), is(StoreFailure.CONFLICT));
			assertThat(failureOf(store.update("k", "n \u00e9+%", created.version(), "3")), is(StoreFailure.CONFLICT));
			assertThat(store.get("k", "n \u00e9+%").join(), is(updated));
			assertThat(store.list("k", "n").join().objects(), contains(updated));
			store.delete("k", "n \u00e9+%", updated.version()).join();
			assertThat(failureOf(store.get("k", "n \u00e9+%")), is(StoreFailure.NOT_FOUND));
		}

		// Guards against a value that passes every test and is rejected by the platform
		// in
		// production.
		@Test
		void rejectsValuesAboveSizeLimit() {
			assertThat(failureOf(PlatformStandinTests.this.store.create("k", "n", "x".repeat(1_000_001))),
					is(StoreFailure.INVALID));
			PlatformStandinTests.this.store.create("k", "n", "x".repeat(1_000_000)).join();
		}

	}

	@Nested
	class Watches {

		// Guards against an instance that misses changes made between two of its watch
		// requests.
		@Test
		void reportsChangesAndResetsWhenHistoryIsGone() {
			ObjectStore store = PlatformStandinTests.this.store;
			CompletableFuture<StoreWatchResult> watch = store.watch("k", 0, 60_000);
			store.create("other", "n", "1").join();
			store.create("k", "n", "1").join();
			StoreWatchResult result = watch.join();
			assertThat(result.events(), hasSize(1));
			for (int i = 0; i < 20; i++) {
				store.create("k", "n" + i, "1").join();
			}
			assertThat(store.watch("k", result.version(), 0).join().isReset(), is(true));
		}

	}

	@Nested
	class Faults {

		// Guards against a client that reports a change as failed or successful although
		// its
		// outcome is unknown, because the response was lost after the effect.
		@Test
		void reportsUnknownOutcomeWhenResponseIsLost() {
			for (PlatformFaultKind kind : List.of(PlatformFaultKind.LOST_ANSWER,
					PlatformFaultKind.ERROR_AFTER_EFFECT)) {
				restart(settings(1_000));
				PlatformStandinTests.this.platform.inject(kind, FAULT_MS, 1, 0);
				assertThat(failureOf(PlatformStandinTests.this.store.create("k", "n", "1")),
						is(StoreFailure.OUTCOME_UNKNOWN));
				assertThat(PlatformStandinTests.this.store.get("k", "n").join().value(), is("1"));
			}
		}

		// Guards against a read on a closed connection that is reported as an unknown
		// outcome, so that the caller does not retry it.
		@Test
		void reportsUnavailableForReadOnClosedConnection() {
			PlatformStandinTests.this.platform.inject(PlatformFaultKind.UNREACHABLE, FAULT_MS, 1, 0);
			assertThat(failureOf(PlatformStandinTests.this.store.get("k", "n")), is(StoreFailure.UNAVAILABLE));
		}

		// Guards against a change rejected during an outage that is reported as an
		// unknown
		// outcome although it had no effect.
		@Test
		void reportsUnavailableDuringOutage() {
			PlatformStandinTests.this.platform.inject(PlatformFaultKind.OUTAGE, FAULT_MS, 1, 0);
			assertThat(failureOf(PlatformStandinTests.this.store.create("k", "n", "1")), is(StoreFailure.UNAVAILABLE));
			PlatformStandinTests.this.platform.close();
			assertThat(failureOf(PlatformStandinTests.this.store.create("k", "n", "1")), is(StoreFailure.UNAVAILABLE));
		}

		// Guards against a rate limit that only the platform enforces, so that tests pass
		// with
		// more calls than it accepts.
		@Test
		void rejectsChangesAboveRateLimit() {
			restart(settings(1));
			PlatformStandinTests.this.store.create("k", "a", "1").join();
			assertThat(failureOf(PlatformStandinTests.this.store.create("k", "b", "1")), is(StoreFailure.RATE_LIMITED));
		}

	}

	@Nested
	class InstanceRegistry {

		// Guards against an entry that is lost or duplicated when an instance registers
		// again, and against an unreadable entry that makes the list fail.
		@Test
		void listsLatestReadableEntryOfEachInstance() {
			StoredInstanceRegistry registry = new StoredInstanceRegistry(PlatformStandinTests.this.store, "instances",
					EventLog.NONE);
			DirectoryEntry entry = new DirectoryEntry(new InstanceId("i-1"), new AvailabilityZone("a"), "127.0.0.1", 1,
					true);
			DirectoryEntry moved = new DirectoryEntry(entry.id(), entry.availabilityZone(), "127.0.0.1", 2, false);
			registry.register(entry).join();
			registry.register(moved).join();
			PlatformStandinTests.this.store.create("instances", "i-2", "not JSON").join();
			assertThat(registry.list().join(), contains(moved));
			registry.unregister(moved).join();
			assertThat(registry.list().join(), is(empty()));
		}

	}

	@Nested
	class Lists {

		// Guards against objects that are missing from a list because only its first page
		// is
		// read.
		@Test
		void returnsObjectsOfAllPages() {
			restart(settings(2_000));
			for (int i = 0; i < 501; i++) {
				PlatformStandinTests.this.store.create("k", "n" + i, "v").join();
			}
			assertThat(PlatformStandinTests.this.store.list("k", "").join().objects(), hasSize(501));
		}

	}

	@Nested
	class Statuses {

		// Guards against a status report that overwrites the request of the operator.
		@Test
		void reportStatusKeepsValue() {
			ObjectStore store = PlatformStandinTests.this.store;
			store.create("k", "n", "v").join();
			store.reportStatus("k", "n", "{\"done\":true}").join();
			assertThat(store.get("k", "n").join().value(), is("v"));
			assertThat(failureOf(store.reportStatus("k", "none", "{}")), is(StoreFailure.NOT_FOUND));
		}

	}

}
