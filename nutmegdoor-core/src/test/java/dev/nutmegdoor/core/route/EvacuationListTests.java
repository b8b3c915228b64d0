package dev.nutmegdoor.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
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
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Plays evacuations, from the store's object to the replicas that requests may use.
 */
class EvacuationListTests {

	/** Time in milliseconds in which an evacuation must take effect. */
	private static final long EVACUATION_MS = 5_000;

	private static final String KIND = "evacuations";

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3);

	private final FakeObjectStore store = new FakeObjectStore(this.timer, this.random, StoreFaults.NONE);

	private final FakeHost host = new FakeHost(this.timer, new InstanceId("i"), new AvailabilityZone("a"), 0);

	private final ObjectStore client = this.store.clientOf(this.host);

	private final List<String> events = new ArrayList<>();

	private final EventLog eventLog = (event, fields) -> this.events.add(event + " " + List.of(fields));

	private final Deployment deployment = new Deployment(new InvariantRegistry(), this.eventLog);

	private ListWatcher watcher;

	@BeforeEach
	void listReplicas() {
		this.deployment.accept(new RouteTable(1, List.of(), List.of(), List.of(), Map.of(), RequestLimits.DEFAULT),
				"test");
		this.deployment.accept(Stream.of("a", "b")
			.map((zone) -> new Upstream(new UpstreamId("r-" + zone), UpstreamKind.SERVICE, new AvailabilityZone(zone),
					"10.0.0.1", 80, List.of("s"), 1, false, false))
			.collect(Collectors.toMap(Upstream::id, (replica) -> replica)));
		EvacuationList evacuations = new EvacuationList(this.deployment, this.host, this.eventLog,
				() -> this.watcher.revision());
		evacuations.awaitFirst(EVACUATION_MS);
		this.watcher = new ListWatcher(this.client, this.host, this.random, new StoreHealth(this.host), this.eventLog,
				KIND, 30_000, 0, evacuations);
	}

	private void start() {
		this.watcher.start();
		this.timer.advance(1_000);
	}

	private void evacuate(String zone) {
		this.client.create(KIND, zone, "{}");
	}

	private void end(String zone) {
		this.client.delete(KIND, zone, Objects.requireNonNull(this.store.peek(KIND, zone)).version());
	}

	private List<String> usableReplicas() {
		return this.deployment.current()
			.upstreams()
			.values()
			.stream()
			.filter((replica) -> !replica.isLeaving())
			.map((replica) -> replica.id().value())
			.sorted()
			.toList();
	}

	private static EvacuatedZones zones(long revision, String... zones) {
		return new EvacuatedZones(revision, Stream.of(zones).map(AvailabilityZone::new).toList());
	}

	// Guards against an evacuated zone that receives requests after the bound, and
	// against
	// a zone that stays out of service.
	@Test
	void zoneIsOutOfServiceWhileObjectExists() {
		start();
		evacuate("a");
		this.timer.advance(EVACUATION_MS);
		assertThat(usableReplicas(), contains("r-b"));
		end("a");
		this.timer.advance(EVACUATION_MS);
		assertThat(usableReplicas(), contains("r-a", "r-b"));
	}

	// Guards against an evacuation whose only notice is lost with a response, or with the
	// history of the store.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void evacuationTakesEffectWhenWatchMissesIt(boolean isHistoryLost) {
		start();
		if (isHistoryLost) {
			evacuate("a");
			this.store.discardHistory();
		}
		else {
			this.store.loseWatchResponses(1);
			evacuate("a");
		}
		this.timer.advance(EVACUATION_MS);
		assertThat(usableReplicas(), contains("r-b"));
	}

	// Guards against an evacuation that never ends because its removal was missed.
	@Test
	void absenceFromListAtHigherRevisionEndsEvacuation() {
		evacuate("a");
		start();
		assertThat(usableReplicas(), contains("r-b"));
		end("a");
		this.store.discardHistory();
		this.timer.advance(EVACUATION_MS);
		assertThat(usableReplicas(), contains("r-a", "r-b"));
	}

	// Guards against all zones out of service, or none, because of an entry of another
	// writer.
	@Test
	void entryThatNamesNoZoneIsReportedAndIgnored() {
		this.client.create(KIND, "not a zone", "{}");
		evacuate("a");
		start();
		this.client.create(KIND, "", "{}");
		this.timer.advance(EVACUATION_MS);
		assertThat(usableReplicas(), contains("r-b"));
		assertThat(this.events.stream().filter((event) -> event.startsWith("store.entry-unreadable")).toList(), hasItem(
				"store.entry-unreadable [kind, evacuations, name, not a zone, reason, " + "it does not name a zone]"));
	}

	// Guards against old news of another instance that returns an evacuated zone to
	// service.
	@Test
	void higherRevisionWins() {
		start();
		this.deployment.accept(zones(1_000, "a"), "i-2");
		assertThat(usableReplicas(), contains("r-b"));
		this.deployment.accept(zones(999, "b"), "i-3");
		assertThat(usableReplicas(), contains("r-b"));
		this.deployment.accept(zones(1_001), "i-3");
		assertThat(usableReplicas(), contains("r-a", "r-b"));
	}

	// Guards against requests of a restarted instance that are sent before it knows the
	// evacuations.
	@Test
	void requestsAreRoutedOnlyOnceEvacuationsAreKnown() {
		evacuate("a");
		assertThat(this.deployment.isReadyToRoute(), is(false));
		start();
		assertThat(this.deployment.isReadyToRoute(), is(true));
		assertThat(usableReplicas(), contains("r-b"));
	}

	// Guards against an instance that never serves because nobody knows the evacuations,
	// and against news of it that override those of others.
	@Test
	void requestsAreRoutedAfterBoundWhenEvacuationsStayUnknown() {
		this.timer.advance(EVACUATION_MS - 1);
		assertThat(this.deployment.isReadyToRoute(), is(false));
		this.timer.advance(1);
		assertThat(this.deployment.isReadyToRoute(), is(true));
		assertThat(this.deployment.confirmedEvacuations(), is(nullValue()));
		this.deployment.accept(zones(1, "b"), "i-2");
		assertThat(usableReplicas(), contains("r-a"));
	}

	// Guards against a started instance that takes replicas of an evacuated zone for ones
	// that leave, and against one that can't return them to service.
	@Test
	void otherInstancesGetReplicasAsListed() {
		start();
		this.deployment.accept(zones(1_000, "a", "b"), "i-2");
		assertThat(usableReplicas(), is(empty()));
		assertThat(this.deployment.listedReplicas().stream().filter(Upstream::isLeaving).toList(), is(empty()));
	}

}
