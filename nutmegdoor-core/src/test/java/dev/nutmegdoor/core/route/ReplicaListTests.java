package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ReplicaListTests {

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final StoreHealth storeHealth = new StoreHealth(this.timer);

	private final Deployment deployment = new Deployment(new InvariantRegistry(), EventLog.NONE);

	private final List<UpstreamId> restarted = new ArrayList<>();

	private final ReplicaList replicaList = new ReplicaList(this.deployment, this.timer, EventLog.NONE,
			ReplicaListTests::decode, this.storeHealth, this.restarted::add);

	private static @Nullable ListedReplica decode(String name, String value) {
		if (value.equals("other writer")) {
			return null;
		}
		if (value.equals("deep")) {
			throw new StackOverflowError(value);
		}
		Upstream upstream = new Upstream(new UpstreamId(name), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"10.0.0.1", 80, List.of("s"), 1, false, value.equals("leaving"));
		return new ListedReplica(upstream, value.equals("started again") ? 2 : 1, 1);
	}

	private static StoredObject object(String name, String value) {
		return new StoredObject("servers", name, 1, value);
	}

	private static StoreEvent event(String name, @Nullable String value) {
		return new StoreEvent("servers", name, 2, value);
	}

	private boolean isListed(String name) {
		return this.deployment.current().upstreams().containsKey(new UpstreamId(name));
	}

	@BeforeEach
	void listReplicas() {
		this.timer.advance(60_000);
		this.replicaList.listed(List.of(object("r-1", "ready"), object("r-2", "ready"), object("x", "other writer")));
	}

	@Nested
	class WhileStoreIsAvailable {

		// Guards against pools that are rebuilt each time a replica renews its entry.
		@Test
		void notifiesListenersOfChangesOnly() {
			List<Long> notified = new ArrayList<>();
			ReplicaListTests.this.deployment.subscribe((current) -> notified.add(current.version()));
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "ready"), event("r-2", "ready")));
			assertThat(notified.size(), is(0));
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "leaving")));
			assertThat(notified.size(), is(1));
		}

		// Guards against requests that are sent to a replica after it has been removed.
		@Test
		void removesReplicaImmediatelyWhenEntryIsDeleted() {
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", null)));
			assertThat(isListed("r-1"), is(false));
		}

		// Guards against an entry of another writer that is treated as a replica, or that
		// keeps a replica in use whose entry it has overwritten.
		@Test
		void ignoresEntriesThatDescribeNoReplica() {
			assertThat(isListed("x"), is(false));
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "other writer")));
			assertThat(isListed("r-1"), is(false));
		}

		// Guards against changes that are lost because they follow an entry whose
		// decoding
		// fails.
		@Test
		void appliesChangesAfterEntryThatExhaustsStack() {
			ReplicaListTests.this.replicaList
				.changed(List.of(event("r-1", "leaving"), event("r-2", "deep"), event("r-3", "ready")));
			assertThat(ReplicaListTests.this.deployment.current().upstreams().get(new UpstreamId("r-1")).isLeaving(),
					is(true));
			assertThat(isListed("r-2"), is(false));
			assertThat(isListed("r-3"), is(true));
		}

		// Guards against an entry whose name is no identifier and that ends the watch, so
		// that later changes are missed.
		@ParameterizedTest
		@ValueSource(strings = { "a name", "" })
		void ignoresEntriesWhoseNameIsNoIdentifier(String name) {
			ReplicaListTests.this.replicaList.changed(List.of(event(name, "other writer"), event("r-1", "leaving")));
			assertThat(ReplicaListTests.this.deployment.current().upstreams().get(new UpstreamId("r-1")).isLeaving(),
					is(true));
		}

	}

	@Nested
	class SeveralChangesAtOnce {

		// Guards against a software version that served for a moment and is not taken
		// into account, because its replica joins and leaves within one batch.
		@Test
		void publishesReplicaThatLeavesAtOnce() {
			List<Set<UpstreamId>> published = new ArrayList<>();
			ReplicaListTests.this.deployment
				.subscribe((configuration) -> published.add(configuration.upstreams().keySet()));
			ReplicaListTests.this.replicaList
				.changed(List.of(event("r-3", "ready"), event("r-2", null), event("r-3", null)));
			assertThat(published,
					is(List.of(Set.of(new UpstreamId("r-1"), new UpstreamId("r-3")), Set.of(new UpstreamId("r-1")))));
		}

	}

	@Nested
	class WhenReplicaStatesThatItLeaves {

		private boolean isLeaving(String name) {
			return ReplicaListTests.this.deployment.current().upstreams().get(new UpstreamId(name)).isLeaving();
		}

		private void stateLeaving(String name, long sentMs) {
			ReplicaListTests.this.replicaList.statedLeaving(new UpstreamId(name), sentMs);
		}

		// Guards against requests that are sent to a replica until the store says what
		// the replica has said itself.
		@Test
		void marksItImmediately() {
			stateLeaving("r-1", ReplicaListTests.this.timer.nowMs());
			assertThat(isLeaving("r-1"), is(true));
			assertThat(isLeaving("r-2"), is(false));
		}

		// Guards against an older entry that puts a leaving replica into use again.
		@Test
		void keepsMarkWhenOlderEntryArrives() {
			stateLeaving("r-1", ReplicaListTests.this.timer.nowMs());
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", null), event("r-1", "ready")));
			assertThat(isLeaving("r-1"), is(true));
		}

		// Guards against a restarted replica that is never used again.
		@Test
		void dropsMarkAfterRestart() {
			stateLeaving("r-1", ReplicaListTests.this.timer.nowMs());
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "started again")));
			assertThat(isLeaving("r-1"), is(false));
		}

		// Guards against a restarted replica that is taken out of use by a response of
		// its predecessor.
		@Test
		void ignoresResponseOfPredecessor() {
			long sentMs = ReplicaListTests.this.timer.nowMs();
			ReplicaListTests.this.timer.advance(100);
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "started again")));
			stateLeaving("r-1", sentMs);
			assertThat(isLeaving("r-1"), is(false));
		}

		// Guards against a statement about a replica that is not listed any more.
		@Test
		void ignoresUnlistedReplica() {
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", null)));
			stateLeaving("r-1", ReplicaListTests.this.timer.nowMs());
			assertThat(isListed("r-1"), is(false));
		}

	}

	@Nested
	class ReplicaRestarts {

		// Guards against turns that are sent to a replica because of a cached history
		// that it lost in a restart.
		@Test
		void reportsRestartUnderSameIdentifier() {
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "ready"), event("r-2", "started again")));
			assertThat(ReplicaListTests.this.restarted, is(List.of(new UpstreamId("r-2"))));
		}

		// Guards against an undetected restart: the entry of the crashed replica was
		// removed before the replica restarted.
		@Test
		void detectsRestartOfRemovedReplica() {
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", null)));
			ReplicaListTests.this.replicaList.changed(List.of(event("r-1", "started again")));
			assertThat(ReplicaListTests.this.restarted, is(List.of(new UpstreamId("r-1"))));
		}

	}

	@Nested
	class AfterStoreOutage {

		@BeforeEach
		void endOutage() {
			ReplicaListTests.this.storeHealth.recordFailure();
			ReplicaListTests.this.timer.advance(5_000);
			ReplicaListTests.this.storeHealth.recordSuccess();
		}

		// Guards against a service without replicas because their entries expired during
		// an outage of the store.
		@Test
		void keepsReplicaWhoseEntryReappears() {
			ReplicaListTests.this.replicaList.listed(List.of(object("r-1", "ready")));
			assertThat(isListed("r-2"), is(true));
			ReplicaListTests.this.timer.advance(1_500);
			ReplicaListTests.this.replicaList.changed(List.of(event("r-2", "ready")));
			ReplicaListTests.this.timer.advance(5_000);
			assertThat(isListed("r-2"), is(true));
		}

		// Guards against requests that are sent to a replica that terminated during an
		// outage of the store.
		@Test
		void removesReplicaWhoseEntryStaysMissing() {
			ReplicaListTests.this.replicaList.listed(List.of(object("r-1", "ready")));
			ReplicaListTests.this.timer.advance(ReplicaList.MISSING_ENTRY_GRACE_MS);
			assertThat(isListed("r-2"), is(false));
		}

	}

}
