package dev.nutmegdoor.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

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
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class BudgetedObjectStoreTests {

	private static final CallBudgetSettings SETTINGS = new CallBudgetSettings(10, 20, 100, 3_000, 8, 50, 1_000, 3, 500,
			4_000, 5_000);

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final FakeObjectStore platform = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(1),
			StoreFaults.NONE);

	private final BudgetedObjectStore store = createClient(1);

	private BudgetedObjectStore createClient(long seed) {
		FakeHost host = new FakeHost(this.timer, new InstanceId("i-" + seed), new AvailabilityZone("a"), 0);
		return new BudgetedObjectStore(this.platform.clientOf(host), host, RandomSource.XO_SHI_RO_256_PP.create(seed),
				SETTINGS, Set.of("lease"), EventLog.NONE);
	}

	private StoreFailure failureOf(CompletableFuture<?> future) {
		CompletionException ex = assertThrows(CompletionException.class, future::join);
		return ((StoreException) ex.getCause()).failure();
	}

	@Nested
	class CallBudgets {

		// Guards against one process that exhausts the rate limit of the fleet.
		@Test
		void limitsCallsPerInterval() {
			for (int i = 0; i < 100; i++) {
				BudgetedObjectStoreTests.this.store.create("k", "n" + i, "v");
			}
			BudgetedObjectStoreTests.this.timer.advance(1_000);
			assertThat(BudgetedObjectStoreTests.this.platform.calls(), lessThanOrEqualTo(30L));
		}

		// Guards against a lease that expires because its renewal waits behind a
		// backlog of other calls.
		@Test
		void sendsUrgentKindsFirst() {
			for (int i = 0; i < 60; i++) {
				BudgetedObjectStoreTests.this.store.create("k", "n" + i, "v");
			}
			CompletableFuture<?> leaseRenewal = BudgetedObjectStoreTests.this.store.create("lease", "i-1", "v");
			BudgetedObjectStoreTests.this.timer.advance(200);
			assertThat(leaseRenewal.isDone(), is(true));
		}

		// Guards against a read that returns an older state than its caller has already
		// observed, because it shares a call sent earlier.
		@Test
		void coalescesOnlyReadsThatAreNotYetSent() {
			BudgetedObjectStoreTests.this.store.create("k", "n", "1");
			List<CompletableFuture<?>> reads = new ArrayList<>();
			BudgetedObjectStoreTests.this.timer.advance(10);
			long callsBefore = BudgetedObjectStoreTests.this.platform.calls();
			for (int i = 0; i < 10; i++) {
				reads.add(BudgetedObjectStoreTests.this.store.get("k", "n"));
			}
			BudgetedObjectStoreTests.this.timer.advance(100);
			reads.forEach(CompletableFuture::join);
			assertThat(BudgetedObjectStoreTests.this.platform.calls() - callsBefore, is(2L));
		}

	}

	@Nested
	class Retries {

		// Guards against a change that is applied twice because it is retried after its
		// first attempt took effect and the response was lost.
		@Test
		void doesNotRetryWriteWithUnknownOutcome() {
			BudgetedObjectStoreTests.this.platform.setFaults(new StoreFaults(1, 0, 1, 1_000));
			CompletableFuture<?> write = BudgetedObjectStoreTests.this.store.create("k", "n", "1");
			BudgetedObjectStoreTests.this.timer.advance(5_000);
			assertThat(failureOf(write), is(StoreFailure.OUTCOME_UNKNOWN));
			assertThat(BudgetedObjectStoreTests.this.platform.calls(), is(1L));
		}

		// Guards against a call that fails because of a rate limit although a retry
		// shortly afterwards succeeds.
		@Test
		void retriesCallsRejectedByRateLimit() {
			BudgetedObjectStoreTests.this.platform.setFaults(new StoreFaults(1, 0, 0, 1));
			CompletableFuture<?> first = BudgetedObjectStoreTests.this.store.create("k", "a", "1");
			CompletableFuture<?> second = BudgetedObjectStoreTests.this.store.create("k", "b", "1");
			BudgetedObjectStoreTests.this.timer.advance(600);
			BudgetedObjectStoreTests.this.platform.setFaults(StoreFaults.NONE);
			BudgetedObjectStoreTests.this.timer.advance(3_000);
			first.join();
			second.join();
			assertThat(BudgetedObjectStoreTests.this.platform.calls(), greaterThan(2L));
		}

	}

	@Nested
	class Outages {

		// Guards against a fleet that keeps calling the platform during an outage, and
		// against a recovery in which all clients resume simultaneously and overload
		// it.
		@Test
		void stopsCallsDuringOutageAndResumesGradually() {
			List<BudgetedObjectStore> clients = new ArrayList<>();
			for (int i = 0; i < 50; i++) {
				clients.add(createClient(100 + i));
			}
			for (BudgetedObjectStore client : clients) {
				VirtualTimerService timer = BudgetedObjectStoreTests.this.timer;
				timer.subscribe(100, () -> client.create("k", "n" + timer.nowMs(), "v"));
			}
			BudgetedObjectStoreTests.this.platform.setAvailable(false);
			BudgetedObjectStoreTests.this.timer.advance(60_000);
			long sentCalls = clients.stream().mapToLong((client) -> client.dump().sentCalls()).sum();
			assertThat("calls of 50 clients in 60 s", sentCalls, lessThanOrEqualTo(50 * 60L));
			BudgetedObjectStoreTests.this.platform.setAvailable(true);
			long callsBefore = BudgetedObjectStoreTests.this.platform.calls();
			BudgetedObjectStoreTests.this.timer.advance(1_000);
			assertThat("calls in the first second", BudgetedObjectStoreTests.this.platform.calls() - callsBefore,
					lessThanOrEqualTo(50 * 10L / 2));
			BudgetedObjectStoreTests.this.timer.advance(15_000);
			clients.forEach((client) -> assertThat(client.dump().isBreakerOpen(), is(false)));
		}

	}

}
