package dev.nutmegdoor.core.route;

import java.util.List;
import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Plays replicas that leave, from the store's entry to the replicas that calls may use.
 */
class LeavingReplicaTests {

	/** Time in milliseconds in which a leaving replica must no longer be used. */
	private static final long DRAIN_MS = 2_000;

	/** Time in milliseconds after an outage from which the bound applies again. */
	private static final long STABLE_AFTER_MS = 3_000;

	private static final long CALL_TIMEOUT_MS = FakeObjectStore.LOST_RESPONSE_TIMEOUT_MS;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0);

	private final ObjectStore client = this.store.clientOf(this.host);

	private final Deployment deployment = new Deployment(new InvariantRegistry(), EventLog.NONE);

	private final StoreHealth health = new StoreHealth(this.host);

	private static @Nullable ListedReplica decode(String name, String value) {
		Upstream upstream = new Upstream(new UpstreamId(name), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"10.0.0.1", 80, List.of("s"), 1, false, value.equals("leaving"));
		return new ListedReplica(upstream, 1, 1);
	}

	private void delete(String name) {
		long version = Objects.requireNonNull(this.store.peek("servers", name)).version();
		this.client.delete("servers", name, version);
	}

	private void markLeaving(String name) {
		long version = Objects.requireNonNull(this.store.peek("servers", name)).version();
		this.client.update("servers", name, version, "leaving");
	}

	private boolean isUsed(String name) {
		Upstream upstream = this.deployment.current().upstreams().get(new UpstreamId(name));
		return upstream != null && !upstream.isLeaving();
	}

	@BeforeEach
	void listReplicas() {
		this.client.create("servers", "r-1", "ready");
		this.client.create("servers", "r-2", "ready");
		this.timer.advance(10);
		ReplicaList replicas = new ReplicaList(this.deployment, this.host, EventLog.NONE, LeavingReplicaTests::decode,
				this.health, (id) -> {
				});
		new ListWatcher(this.client, this.host, this.random, this.health, EventLog.NONE, "servers", 30_000,
				ReplicaList.collectionDelayMs(DRAIN_MS, CALL_TIMEOUT_MS), replicas)
			.start();
		this.timer.advance(10_000);
		assertThat(isUsed("r-1") && isUsed("r-2"), is(true));
	}

	@Nested
	class WhileStoreIsAvailable {

		// Guards against a single interrupted watch that is taken for an outage in which
		// the entries of running replicas expire.
		@Test
		void stopsUsingReplicaWhoseEntryVanishedBehindInterruptedWatch() {
			LeavingReplicaTests.this.store.discardHistory();
			delete("r-1");
			LeavingReplicaTests.this.timer.advance(DRAIN_MS);
			assertThat(isUsed("r-1"), is(false));
		}

		// Guards against a notice of leaving that waits until changes have been collected
		// and has no time left when the next call has no response.
		@Test
		void stopsUsingLeavingReplicaWhenNoticeFollowsOtherChangeAndCallHasNoResponse() {
			LeavingReplicaTests.this.client.create("servers", "r-3", "ready");
			LeavingReplicaTests.this.timer.advance(50);
			markLeaving("r-1");
			LeavingReplicaTests.this.timer.advance(5);
			LeavingReplicaTests.this.store.loseWatchResponses(1);
			LeavingReplicaTests.this.timer.advance(DRAIN_MS);
			assertThat(isUsed("r-1"), is(false));
		}

	}

	@Nested
	class AfterStoreOutage {

		private void interruptStore(int outageMs) {
			LeavingReplicaTests.this.store.setAvailable(false);
			LeavingReplicaTests.this.timer.advance(outageMs);
			LeavingReplicaTests.this.store.setAvailable(true);
		}

		// Guards against a replica that is used for too long after it has left, because
		// calls of this instance still failed when the store was available again.
		@ParameterizedTest
		@ValueSource(ints = { 4_000, 4_250, 4_500, 4_750, 5_000, 5_250, 5_500, 5_750 })
		void stopsUsingReplicaThatLeavesOnceStoreIsStable(int outageMs) {
			interruptStore(outageMs);
			LeavingReplicaTests.this.timer.advance(STABLE_AFTER_MS);
			delete("r-1");
			LeavingReplicaTests.this.timer.advance(DRAIN_MS);
			assertThat(isUsed("r-1"), is(false));
		}

		// Guards against a service without replicas because their entries expired during
		// the outage.
		@Test
		void keepsReplicaWhoseExpiredEntryReappears() {
			interruptStore(5_000);
			delete("r-1");
			for (int i = 0; i < 18; i++) {
				LeavingReplicaTests.this.timer.advance(100);
				assertThat(isUsed("r-1"), is(true));
			}
			LeavingReplicaTests.this.client.create("servers", "r-1", "ready");
			for (int i = 0; i < 50; i++) {
				LeavingReplicaTests.this.timer.advance(100);
				assertThat(isUsed("r-1"), is(true));
			}
		}

	}

}
