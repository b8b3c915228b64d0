package dev.nutmegdoor.core.stream;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.fake.FakeFollowedList;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

class StreamOriginsTests {

	private static final String SERVICE = "s";

	/** Longer than any stream can be taken up. */
	private static final long SETTLED_MS = 60_000;

	/** Time from the dispatch of a stream until its first event, at least. */
	private static final long FIRST_EVENT_MS = 30;

	/** Time that a client's request leaves for finding the version. */
	private static final long FIND_MS = 500;

	private static final int STREAMS = 200;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(11);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeConfigurationView configuration = new FakeConfigurationView(replicas("v1"));

	private final FakeFollowedList list = new FakeFollowedList();

	private final List<InstanceId> ids = new ArrayList<>();

	private final List<FakeHost> hosts = new ArrayList<>();

	private final List<StreamOrigins> instances = new ArrayList<>();

	private static Configuration replicas(String... versions) {
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		for (String version : versions) {
			upstreams.put(new UpstreamId("r-" + version), replica(version));
		}
		return new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), upstreams);
	}

	private static Upstream replica(String version) {
		return new Upstream(new UpstreamId("r-" + version), UpstreamKind.SERVICE, new AvailabilityZone("z0"),
				"127.0.0.1", 1, List.of(SERVICE), 4, false, false, version);
	}

	private void start(int instanceCount) {
		for (int i = 0; i < instanceCount; i++) {
			this.ids.add(new InstanceId("i-" + i));
		}
		for (int i = 0; i < instanceCount; i++) {
			this.hosts.add(null);
			this.instances.add(null);
			startInstance(i);
		}
	}

	private void startInstance(int index) {
		FakeHost host = new FakeHost(this.timer, this.ids.get(index), new AvailabilityZone("z" + index % 3), 0);
		List<InstanceId> others = this.ids.stream().filter((id) -> !id.equals(host.id())).toList();
		this.hosts.set(index, host);
		this.instances.set(index, new StreamOrigins(this.network.join(host), () -> others, this.configuration,
				this.list, host, EventLog.NONE));
	}

	private String versionOf(int stream) {
		return (stream % 2 == 0) ? "v1" : "v2";
	}

	private void beginStreams(int instance) {
		for (int i = 0; i < STREAMS; i++) {
			this.instances.get(instance).began("attempt-" + i, SERVICE, replica(versionOf(i)));
		}
		this.timer.advance(FIRST_EVENT_MS);
	}

	private ResumeTarget find(int instance, String attempt) {
		CompletableFuture<ResumeTarget> target = this.instances.get(instance).find(attempt, List.of(SERVICE));
		this.timer.advance(FIND_MS);
		assertThat(target.isDone(), is(true));
		return target.join();
	}

	/** Returns how many streams are found; fails if one is found with another version. */
	private int countFound(int instance) {
		List<CompletableFuture<ResumeTarget>> targets = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			targets.add(this.instances.get(instance).find("attempt-" + i, List.of(SERVICE)));
		}
		this.timer.advance(FIND_MS);
		int found = 0;
		for (int i = 0; i < STREAMS; i++) {
			assertThat(targets.get(i).isDone(), is(true));
			StreamOrigin origin = targets.get(i).join().select(SERVICE);
			if (origin != null) {
				assertThat(origin, is(new StreamOrigin(SERVICE, versionOf(i))));
				found++;
			}
		}
		return found;
	}

	@Nested
	class WhileSeveralVersionsServe {

		// Guards against a stream that can't go on, or goes on at another version,
		// because
		// another instance began it.
		@ParameterizedTest
		@ValueSource(ints = { 2, 9, 83 })
		void findsStreamsOfOtherInstances(int instanceCount) {
			start(instanceCount);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			assertThat(countFound(instanceCount - 1), is(STREAMS));
		}

		// Guards against streams that are lost with the instance that began them.
		@Test
		void findsStreamsOfInstanceThatWasKilledAfterFirstEvent() {
			start(9);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			StreamOriginsTests.this.hosts.get(0).crash();
			assertThat(countFound(5), is(STREAMS));
		}

		// The contract asks for half of the streams. Guards against instances that
		// remember
		// a stream together and are killed together.
		@Test
		void findsMostStreamsWhenThirdOfInstancesIsKilled() {
			start(9);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			for (int i = 0; i < 3; i++) {
				StreamOriginsTests.this.hosts.get(i).crash();
			}
			assertThat(countFound(5), greaterThanOrEqualTo(STREAMS / 2));
		}

		// Guards against a stream that goes on at any version because nobody remembers
		// it.
		@Test
		void doesNotGuessVersionOfUnknownStream() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			assertThat(find(3, "never-seen"), is(ResumeTarget.UNKNOWN));
			assertThat(find(3, null), is(ResumeTarget.UNKNOWN));
		}

		// Guards against streams whose instance did not tell others of them, because only
		// one version served when they began.
		@Test
		void findsStreamsThatBeganBeforeSecondVersion() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.instances.get(0).began("attempt-0", SERVICE, replica("v1"));
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			StreamOriginsTests.this.timer.advance(FIRST_EVENT_MS);
			StreamOriginsTests.this.hosts.get(0).crash();
			assertThat(find(5, "attempt-0").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
		}

		// Guards against a stream that goes on at the only version that is left, although
		// another one began it.
		@Test
		void remembersVersionThatHasLeft() {
			start(9);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			StreamOriginsTests.this.configuration.set(replicas("v2"));
			assertThat(countFound(4), is(STREAMS));
			assertThat(find(4, "never-seen"), is(ResumeTarget.UNKNOWN));
		}

		// Guards against a restarted instance that takes the versions it sees for those
		// that served before.
		@Test
		void restartedInstanceAsksOthers() {
			start(9);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			StreamOriginsTests.this.configuration.set(replicas("v2"));
			StreamOriginsTests.this.hosts.get(7).crash();
			startInstance(7);
			assertThat(countFound(7), is(STREAMS));
			assertThat(find(7, "never-seen"), is(ResumeTarget.UNKNOWN));
		}

	}

	@Nested
	class AfterAllInstancesWereKilled {

		private void restartAll() {
			StreamOriginsTests.this.hosts.forEach(FakeHost::crash);
			for (int i = 0; i < StreamOriginsTests.this.instances.size(); i++) {
				startInstance(i);
			}
		}

		// Guards against streams that go on at another version, because the instances
		// that remembered them are gone and the old version has just left.
		@Test
		void doesNotTakeOnlyVersionForTheOneThatBeganStreams() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			beginStreams(0);
			StreamOriginsTests.this.configuration.set(replicas("v2"));
			restartAll();
			assertThat(countFound(4), is(0));
		}

		// Guards against the same when the old version leaves while no instance runs.
		@Test
		void doesNotTakeVersionThatAppearedMeanwhileForTheOneThatBeganStreams() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			beginStreams(0);
			StreamOriginsTests.this.hosts.forEach(FakeHost::crash);
			StreamOriginsTests.this.configuration.set(replicas("v2"));
			restartAll();
			assertThat(countFound(4), is(0));
		}

		// Guards against streams that can't go on although they began after the restart.
		@Test
		void findsStreamsThatBeganAfterRestart() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			restartAll();
			beginStreams(0);
			assertThat(countFound(4), is(STREAMS));
		}

	}

	@Nested
	class WhileOneVersionServes {

		// Guards against messages for each stream in a deployment that runs one version.
		@Test
		void sendsNoMessageForStreamThatBegins() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			long before = StreamOriginsTests.this.network.sentMessages();
			beginStreams(0);
			assertThat(StreamOriginsTests.this.network.sentMessages() - before, is(0L));
		}

		// Guards against streams that can't go on although only one version can have
		// begun
		// them, also at an instance that has just started.
		@Test
		void letsStreamsOfKilledInstancesGoOn() {
			start(9);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.hosts.get(0).crash();
			startInstance(0);
			assertThat(find(0, "began-before").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
			assertThat(find(4, "began-before").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
		}

		// Guards against streams that can't go on at the only instance in reach of a
		// client, although the store shows that one version can have begun them.
		@Test
		void letsStreamsGoOnWhileOthersAreOutOfReach() {
			start(3);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			for (int i = 1; i < 3; i++) {
				StreamOriginsTests.this.hosts.get(i).crash();
			}
			assertThat(find(0, "began-before").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
		}

		// Guards against an instance that takes the only version of a list that the store
		// has not confirmed, because no other instance answers.
		@Test
		void refusesUnknownStreamsWhileOthersAndStoreAreOutOfReach() {
			start(3);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			for (int i = 1; i < 3; i++) {
				StreamOriginsTests.this.hosts.get(i).crash();
			}
			StreamOriginsTests.this.list.setInReach(false);
			StreamOriginsTests.this.instances.get(0).began("own", SERVICE, replica("v1"));
			assertThat(find(0, "own").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
			assertThat(find(0, "began-before"), is(ResumeTarget.UNKNOWN));
		}

		// Guards against an instance that is alone and takes its own word for a history
		// that it does not know.
		@Test
		void instanceThatIsAloneNeedsKnownHistory() {
			start(1);
			StreamOriginsTests.this.timer.advance(FIRST_EVENT_MS);
			assertThat(find(0, "began-before"), is(ResumeTarget.UNKNOWN));
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			assertThat(find(0, "began-before").select(SERVICE), is(new StreamOrigin(SERVICE, "v1")));
		}

	}

	@Nested
	class WhileListOfInstanceIsBehind {

		// Guards against a stream that goes on at the old version because the gateway at
		// which the client takes it up has not heard of the new one.
		@Test
		void asksInstancesThatKnowSecondVersion() {
			StreamOriginsTests.this.ids.addAll(List.of(new InstanceId("i-0"), new InstanceId("i-1")));
			for (int i = 0; i < 2; i++) {
				StreamOriginsTests.this.hosts.add(null);
				StreamOriginsTests.this.instances.add(null);
				startInstance(i);
			}
			FakeConfigurationView ownList = new FakeConfigurationView(replicas("v1"));
			InstanceId self = new InstanceId("i-2");
			StreamOriginsTests.this.ids.add(self);
			FakeHost host = new FakeHost(StreamOriginsTests.this.timer, self, new AvailabilityZone("z2"), 0);
			StreamOrigins behind = new StreamOrigins(StreamOriginsTests.this.network.join(host),
					() -> StreamOriginsTests.this.ids.subList(0, 2), ownList, new FakeFollowedList(), host,
					EventLog.NONE);
			StreamOriginsTests.this.timer.advance(SETTLED_MS);
			StreamOriginsTests.this.configuration.set(replicas("v1", "v2"));
			StreamOriginsTests.this.instances.get(0).began("attempt-1", SERVICE, replica("v2"));
			StreamOriginsTests.this.timer.advance(FIRST_EVENT_MS);
			CompletableFuture<ResumeTarget> known = behind.find("attempt-1", List.of(SERVICE));
			CompletableFuture<ResumeTarget> unknown = behind.find("never-seen", List.of(SERVICE));
			StreamOriginsTests.this.timer.advance(FIND_MS);
			assertThat(known.join().select(SERVICE), is(new StreamOrigin(SERVICE, "v2")));
			assertThat(unknown.join(), is(ResumeTarget.UNKNOWN));
		}

	}

}
