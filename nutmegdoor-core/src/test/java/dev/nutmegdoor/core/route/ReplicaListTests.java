package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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

	private final StoreHealth health = new StoreHealth(this.timer);

	private final Deployment deployment = new Deployment(new InvariantRegistry(), EventLog.NONE);

	private final List<UpstreamId> restarted = new ArrayList<>();

	private final ReplicaList list = new ReplicaList(this.deployment, this.timer, EventLog.NONE,
			ReplicaListTests::decode, this.health, this.restarted::add);

	private static @Nullable ListedReplica decode(String name, String value) {
		if (value.equals("other writer")) {
			return null;
		}
		Upstream upstream = new Upstream(new UpstreamId(name), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"10.0.0.1", 80, List.of("s"), 1, false, value.equals("leaving"));
		return new ListedReplica(upstream, value.equals("started again") ? 2 : 1);
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
	void fill() {
		this.timer.advance(60_000);
		this.list.listed(List.of(object("r-1", "ready"), object("r-2", "ready"), object("x", "other writer")));
	}

	@Nested
	class InSteadyState {

		// Guards against work for a replica that has left without a word.
		@Test
		void dropsARemovedReplicaAtOnce() {
			ReplicaListTests.this.list.changed(List.of(event("r-1", null)));
			assertThat(isListed("r-1"), is(false));
		}

		// Guards against an entry of another writer that is taken for a replica, or that
		// keeps one in use whose entry it has replaced.
		@Test
		void ignoresEntriesThatNameNoReplica() {
			assertThat(isListed("x"), is(false));
			ReplicaListTests.this.list.changed(List.of(event("r-1", "other writer")));
			assertThat(isListed("r-1"), is(false));
		}

	}

	@Nested
	class OfReplicasThatStartAgain {

		// Guards against turns that are sent to a replica for a history that it no longer
		// has.
		@Test
		void reportsARestartUnderTheSameIdentifier() {
			ReplicaListTests.this.list.changed(List.of(event("r-1", "ready"), event("r-2", "started again")));
			assertThat(ReplicaListTests.this.restarted, is(List.of(new UpstreamId("r-2"))));
		}

		// Guards against a crash that goes unnoticed because the entry was away for a
		// while.
		@Test
		void remembersTheStartOfAReplicaThatWasRemoved() {
			ReplicaListTests.this.list.changed(List.of(event("r-1", null)));
			ReplicaListTests.this.list.changed(List.of(event("r-1", "started again")));
			assertThat(ReplicaListTests.this.restarted, is(List.of(new UpstreamId("r-1"))));
		}

	}

	@Nested
	class AfterAnOutage {

		@BeforeEach
		void fail() {
			ReplicaListTests.this.health.failed();
			ReplicaListTests.this.timer.advance(500);
		}

		// Guards against a service without replicas because their entries lapsed while
		// the store was out.
		@Test
		void keepsAReplicaWhoseEntryComesBack() {
			ReplicaListTests.this.list.listed(List.of(object("r-1", "ready")));
			assertThat(isListed("r-2"), is(true));
			ReplicaListTests.this.timer.advance(1_500);
			ReplicaListTests.this.list.changed(List.of(event("r-2", "ready")));
			ReplicaListTests.this.timer.advance(5_000);
			assertThat(isListed("r-2"), is(true));
		}

		// Guards against a replica that is gone and used on.
		@Test
		void dropsAReplicaWhoseEntryStaysAway() {
			ReplicaListTests.this.list.listed(List.of(object("r-1", "ready")));
			ReplicaListTests.this.timer.advance(ReplicaList.LAPSE_GRACE_MS);
			assertThat(isListed("r-2"), is(false));
		}

	}

}
