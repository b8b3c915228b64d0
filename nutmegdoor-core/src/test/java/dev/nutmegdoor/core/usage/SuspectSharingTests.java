package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fake.FakeConfigurationView;
import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.quarantine.RequestFingerprint;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Requests that crash replicas, in deployments in which each crash is seen by another
 * instance.
 */
class SuspectSharingTests {

	private static final RequestFingerprint REQUEST = new RequestFingerprint(42, 7);

	/** Time that the contract allows until all instances in touch withhold a request. */
	private static final long CONTACT_MS = 3_000;

	private static final int ZONES = 3;

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeConfigurationView configuration = new FakeConfigurationView(
			new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), Map.of()));

	private final List<DirectoryEntry> entries = new ArrayList<>();

	private final List<FakeHost> hosts = new ArrayList<>();

	private final List<RequestQuarantine> quarantines = new ArrayList<>();

	private void start(int instanceCount) {
		for (int i = 0; i < instanceCount; i++) {
			this.entries.add(new DirectoryEntry(new InstanceId("i-" + i), zone(i), "10.0.0." + i, 1, false));
		}
		for (int i = 0; i < instanceCount; i++) {
			this.hosts.add(null);
			this.quarantines.add(null);
			startInstance(i);
		}
		this.timer.advance(2_000);
	}

	private void startInstance(int index) {
		FakeHost host = new FakeHost(this.timer, new InstanceId("i-" + index), zone(index), 0);
		RequestQuarantine quarantine = new RequestQuarantine(host, EventLog.NONE);
		UsagePeers peers = new UsagePeers(host.id());
		peers.addListed(this.entries);
		new UsageLimiter(this.network.join(host), peers, this.configuration, host, this.random, EventLog.NONE,
				UsageSettings.DEFAULT,
				new LocalUsageEndpoint("run-" + index + "-" + this.timer.nowMs(), zone(index), "10.0.0." + index, 1),
				false, LoadSharing.NONE, quarantine);
		this.hosts.set(index, host);
		this.quarantines.set(index, quarantine);
	}

	private static AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index % ZONES);
	}

	private void crashThree(int firstInstance) {
		for (int i = 0; i < 3; i++) {
			long sentMs = this.timer.nowMs();
			this.timer.advance(200);
			this.quarantines.get(firstInstance + i * ZONES)
				.crashed(REQUEST, new UpstreamId("r-" + i), sentMs, this.timer.nowMs());
		}
	}

	private long sendingInstances() {
		return this.quarantines.stream().filter((quarantine) -> quarantine.withheldMs(REQUEST) == 0).count();
	}

	private void setZoneCut(boolean isCut) {
		for (int i = 1; i < ZONES; i++) {
			this.network.setCut(zone(0), zone(i), isCut);
		}
	}

	@Nested
	class AllInstancesInReach {

		// Guards against a request that crashes three replicas for each instance that a
		// client tries.
		@ParameterizedTest
		@ValueSource(ints = { 9, 60 })
		void withholdRequestThatCrashedReplicasOfOthers(int instanceCount) {
			start(instanceCount);
			crashThree(0);
			SuspectSharingTests.this.timer.advance(CONTACT_MS);
			assertThat(sendingInstances(), is(0L));
		}

		// Guards against an instance that misses the only message about a crash.
		@ParameterizedTest
		@ValueSource(ints = { 9, 60 })
		void withholdRequestThoughMessagesAreLost(int instanceCount) {
			start(instanceCount);
			SuspectSharingTests.this.network.setSettings(new LinkSettings(1, 2, 0, 0.3, 0));
			crashThree(0);
			SuspectSharingTests.this.timer.advance(CONTACT_MS);
			assertThat(sendingInstances(), is(0L));
		}

	}

	@Nested
	class PartitionedZone {

		// Guards against a request that goes on crashing replicas from a zone that was
		// cut off when the others saw the crashes.
		@ParameterizedTest
		@ValueSource(ints = { 9, 60 })
		void withholdsRequestAfterPartitionHasHealed(int instanceCount) {
			start(instanceCount);
			setZoneCut(true);
			SuspectSharingTests.this.timer.advance(CONTACT_MS);
			crashThree(1);
			SuspectSharingTests.this.timer.advance(20_000);
			setZoneCut(false);
			SuspectSharingTests.this.timer.advance(CONTACT_MS);
			assertThat(sendingInstances(), is(0L));
		}

	}

	@Nested
	class RestartedInstance {

		// Guards against a request that crashes three replicas for each restart.
		@ParameterizedTest
		@ValueSource(ints = { 9, 60 })
		void withholdsRequestFromBeforeItsStart(int instanceCount) {
			start(instanceCount);
			crashThree(0);
			SuspectSharingTests.this.timer.advance(60_000);
			SuspectSharingTests.this.hosts.get(4).crash();
			SuspectSharingTests.this.timer.advance(1_000);
			startInstance(4);
			SuspectSharingTests.this.timer.advance(CONTACT_MS);
			assertThat(sendingInstances(), is(0L));
		}

	}

}
