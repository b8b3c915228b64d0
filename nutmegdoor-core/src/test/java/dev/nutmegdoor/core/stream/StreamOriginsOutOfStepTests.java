package dev.nutmegdoor.core.stream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.store.KindListener;
import dev.nutmegdoor.core.store.ListWatcher;
import dev.nutmegdoor.core.store.ObjectStore;
import dev.nutmegdoor.core.store.StoreEvent;
import dev.nutmegdoor.core.store.StoreHealth;
import dev.nutmegdoor.core.store.StoredObject;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Streams that clients take up at instances which do not receive changes of the list of
 * replicas in time. Each instance has its own watch of the store.
 */
class StreamOriginsOutOfStepTests {

	private static final String SERVICE = "s";

	private static final String KIND = "servers";

	private static final int INSTANCES = 9;

	private static final int ZONES = 3;

	/** Longer than any stream can be taken up. */
	private static final long SETTLED_MS = 60_000;

	/** Time until all instances in reach have received a change of the list. */
	private static final long LIST_MS = 400;

	/** Time until an instance has noticed that the store is out of reach. */
	private static final long LOSS_MS = 3_000;

	/** Time from the dispatch of a stream until its first event, at least. */
	private static final long FIRST_EVENT_MS = 30;

	/** Time that a client's request leaves for finding the version. */
	private static final long FIND_MS = 700;

	private static final int STREAMS = 200;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final ObjectStore replicas = this.store
		.clientOf(new FakeHost(this.timer, new InstanceId("replica"), new AvailabilityZone("replicas"), 0));

	private final List<InstanceId> ids = new ArrayList<>();

	private final List<FakeHost> hosts = new ArrayList<>();

	private final List<StreamOrigins> instances = new ArrayList<>();

	@BeforeEach
	void start() {
		this.replicas.create(KIND, "r-1", "v1");
		this.timer.advance(FIRST_EVENT_MS);
		for (int i = 0; i < INSTANCES; i++) {
			this.ids.add(new InstanceId("i-" + i));
		}
		for (int i = 0; i < INSTANCES; i++) {
			this.hosts.add(null);
			this.instances.add(null);
			startInstance(i);
		}
		this.timer.advance(SETTLED_MS);
	}

	private void startInstance(int index) {
		FakeHost host = new FakeHost(this.timer, this.ids.get(index), zone(index), 0);
		List<InstanceId> others = this.ids.stream().filter((id) -> !id.equals(host.id())).toList();
		FakeConfigurationView configuration = new FakeConfigurationView(Configuration.EMPTY);
		ListWatcher list = new ListWatcher(this.store.clientOf(host), host, this.random, new StoreHealth(host),
				EventLog.NONE, KIND, 30_000, 250, new Replicas(configuration));
		this.hosts.set(index, host);
		this.instances.set(index,
				new StreamOrigins(this.network.join(host), () -> others, configuration, list, host, EventLog.NONE));
		list.start();
	}

	private static AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index % ZONES);
	}

	private static Upstream replica(String name, String version) {
		return new Upstream(new UpstreamId(name), UpstreamKind.SERVICE, new AvailabilityZone("z0"), "127.0.0.1", 1,
				List.of(SERVICE), 4, false, false, version);
	}

	private void joinReplicaOfNewVersion() {
		this.replicas.create(KIND, "r-2", "v2");
		this.timer.advance(LIST_MS);
	}

	private void cutFromOthers(int index) {
		this.ids.forEach((id) -> {
			if (!id.equals(this.ids.get(index))) {
				this.network.setCut(this.ids.get(index), id, true);
			}
		});
	}

	private void cutZoneFromOthers(int zone) {
		for (int i = 0; i < ZONES; i++) {
			if (i != zone) {
				this.network.setCut(zone(zone), zone(i), true);
			}
		}
	}

	private void cutZoneFromStore(int zone) {
		this.store.setCut(zone(zone), true);
	}

	private void joinAndLeaveUnseen() {
		for (int i = 0; i < ZONES; i++) {
			this.store.setCut(zone(i), true);
		}
		joinReplicaOfNewVersion();
		this.replicas.delete(KIND, "r-2", this.store.peek(KIND, "r-2").version());
		this.timer.advance(LIST_MS);
		this.store.discardHistory();
		for (int i = 0; i < ZONES; i++) {
			this.store.setCut(zone(i), false);
		}
		this.timer.advance(LOSS_MS);
	}

	private void beginStreams(int instance, String version) {
		for (int i = 0; i < STREAMS; i++) {
			this.instances.get(instance).began("attempt-" + i, SERVICE, replica("r", version));
		}
		this.timer.advance(FIRST_EVENT_MS);
	}

	/** Returns how many streams are found; fails if one is found with another version. */
	private int countFound(int instance, String version) {
		List<CompletableFuture<ResumeTarget>> targets = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			targets.add(this.instances.get(instance).find("attempt-" + i, List.of(SERVICE)));
		}
		this.timer.advance(FIND_MS);
		int found = 0;
		for (CompletableFuture<ResumeTarget> target : targets) {
			assertThat(target.isDone(), is(true));
			StreamOrigin origin = target.join().select(SERVICE);
			if (origin != null) {
				assertThat(origin, is(new StreamOrigin(SERVICE, version)));
				found++;
			}
		}
		return found;
	}

	// Guards against streams of a new version that go on at the old one, at an instance
	// out of reach of everything.
	@Test
	void instanceOutOfReachOfStoreAndOthersDoesNotTakeItsOnlyVersion() {
		cutFromOthers(4);
		cutZoneFromStore(4 % ZONES);
		joinReplicaOfNewVersion();
		beginStreams(0, "v2");
		assertThat(countFound(4, "v2"), is(0));
	}

	// Guards against the same before the watch of an instance out of reach of the others
	// has brought the change.
	@Test
	void instanceOutOfReachOfOthersDoesNotTakeOnlyVersionOfItsLastWatch() {
		this.replicas.create(KIND, "r-3", "v1");
		this.timer.advance(FIRST_EVENT_MS);
		cutFromOthers(4);
		this.replicas.create(KIND, "r-2", "v2");
		this.timer.advance(FIRST_EVENT_MS);
		beginStreams(0, "v2");
		assertThat(countFound(4, "v2"), is(0));
	}

	// Guards against the same after an instance stood still, while its connections are
	// broken and its watch has not brought the change yet.
	@Test
	void instanceThatStoodStillDoesNotTakeOnlyVersionOfOldList() {
		this.replicas.create(KIND, "r-3", "v1");
		this.timer.advance(FIRST_EVENT_MS);
		this.hosts.get(4).pause();
		cutFromOthers(4);
		joinReplicaOfNewVersion();
		beginStreams(0, "v2");
		int[] found = { -1 };
		this.hosts.get(4).run(() -> found[0] = countFound(4, "v2"));
		this.hosts.get(4).resume();
		assertThat(found[0], is(0));
	}

	// Guards against the same in a zone whose instances confirm each other's old list.
	@Test
	void instancesOfZoneOutOfReachDoNotTakeVersionThatAllOfThemSee() {
		cutZoneFromOthers(1);
		cutZoneFromStore(1);
		joinReplicaOfNewVersion();
		beginStreams(0, "v2");
		assertThat(countFound(4, "v2"), is(0));
	}

	// Guards against a zone in which no stream can go on while it is cut off.
	@Test
	void streamsThatBeganInZoneAfterLossWasNoticedGoOnThere() {
		cutZoneFromOthers(1);
		cutZoneFromStore(1);
		this.timer.advance(LOSS_MS);
		beginStreams(1, "v1");
		this.hosts.get(1).crash();
		assertThat(countFound(4, "v1"), greaterThanOrEqualTo(STREAMS / 2));
	}

	// Guards against a zone in which running streams can't go on once the store is lost.
	@Test
	void streamsThatRanWhenStoreWasLostGoOn() {
		beginStreams(1, "v1");
		this.store.setAvailable(false);
		this.timer.advance(LOSS_MS);
		this.hosts.get(1).crash();
		assertThat(countFound(4, "v1"), is(STREAMS));
	}

	// Guards against streams that can't go on although the list shows all versions.
	@Test
	void streamsGoOnWhereStoreConfirmsThatOneVersionServed() {
		beginStreams(1, "v1");
		cutFromOthers(4);
		assertThat(countFound(4, "v1"), is(STREAMS));
	}

	// Guards against a version that came and went while the history of the store was
	// lost to the instances.
	@Test
	void versionThatMayHaveComeAndGoneUnseenIsNotRuledOut() {
		joinAndLeaveUnseen();
		assertThat(countFound(4, "v1"), is(0));
		this.timer.advance(SETTLED_MS);
		assertThat(countFound(4, "v1"), is(STREAMS));
	}

	/**
	 * Applies the entries of the store, whose value is the version of a replica.
	 */
	private static final class Replicas implements KindListener {

		private final FakeConfigurationView configuration;

		private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();

		private Replicas(FakeConfigurationView configuration) {
			this.configuration = configuration;
		}

		@Override
		public void listed(List<StoredObject> objects) {
			this.upstreams.clear();
			objects.forEach((object) -> apply(object.name(), object.value()));
			publish();
		}

		@Override
		public void changed(List<StoreEvent> changes) {
			changes.forEach((change) -> apply(change.name(), change.value()));
			publish();
		}

		private void apply(String name, String version) {
			if (version != null) {
				this.upstreams.put(new UpstreamId(name), replica(name, version));
			}
			else {
				this.upstreams.remove(new UpstreamId(name));
			}
		}

		private void publish() {
			this.configuration
				.set(new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), Map.copyOf(this.upstreams)));
		}

	}

}
