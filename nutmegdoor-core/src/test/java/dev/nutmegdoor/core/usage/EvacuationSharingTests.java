package dev.nutmegdoor.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
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
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.quarantine.RequestQuarantine;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.EvacuatedZones;
import dev.nutmegdoor.core.time.VirtualTimerService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Evacuations in deployments of which only one instance reaches the store.
 */
class EvacuationSharingTests {

	/** Time in milliseconds in which an evacuation must take effect. */
	private static final long EVACUATION_MS = 5_000;

	private static final int ZONES = 3;

	private static final EvacuatedZones EVACUATED = new EvacuatedZones(7, List.of(zone(1)));

	private static final EvacuatedZones ENDED = new EvacuatedZones(9, List.of());

	private final VirtualTimerService timer = new VirtualTimerService(0);

	private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7);

	private final FakePeerNetwork network = new FakePeerNetwork(this.random, LinkSettings.RELIABLE);

	private final FakeConfigurationView configuration = new FakeConfigurationView(
			new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), Map.of()));

	private final List<DirectoryEntry> entries = new ArrayList<>();

	private final List<FakeHost> hosts = new ArrayList<>();

	private final List<Deployment> deployments = new ArrayList<>();

	private static AvailabilityZone zone(int index) {
		return new AvailabilityZone("z" + index % ZONES);
	}

	private void start(int instanceCount) {
		for (int i = 0; i < instanceCount; i++) {
			this.entries.add(new DirectoryEntry(new InstanceId("i-" + i), zone(i), "10.0.0." + i, 1, false));
		}
		for (int i = 0; i < instanceCount; i++) {
			this.hosts.add(null);
			this.deployments.add(null);
			startInstance(i);
		}
		this.timer.advance(2_000);
	}

	private void startInstance(int index) {
		FakeHost host = new FakeHost(this.timer, new InstanceId("i-" + index), zone(index), 0);
		Deployment deployment = new Deployment(new InvariantRegistry(), EventLog.NONE);
		UsagePeers peers = new UsagePeers(host.id());
		peers.addListed(this.entries);
		new UsageLimiter(this.network.join(host), peers, this.configuration, host, this.random, EventLog.NONE,
				UsageSettings.DEFAULT,
				new LocalUsageEndpoint("run-" + index + "-" + this.timer.nowMs(), zone(index), "10.0.0." + index, 1),
				false, LoadSharing.NONE, new RequestQuarantine(host, EventLog.NONE),
				new DeploymentEvacuations(deployment));
		this.hosts.set(index, host);
		this.deployments.set(index, deployment);
	}

	private long instancesThatKnow(EvacuatedZones evacuations) {
		return this.deployments.stream()
			.filter((deployment) -> evacuations.equals(deployment.confirmedEvacuations()))
			.count();
	}

	private void setZoneCut(boolean isCut) {
		for (int i = 1; i < ZONES; i++) {
			this.network.setCut(zone(0), zone(i), isCut);
		}
	}

	// Guards against an instance without the store that sends requests into an evacuated
	// zone, or none into one that serves again.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void allInstancesLearnEvacuationAndItsEnd(int instanceCount) {
		start(instanceCount);
		this.deployments.get(4).accept(EVACUATED, "store");
		this.timer.advance(EVACUATION_MS);
		assertThat(instancesThatKnow(EVACUATED), is((long) instanceCount));
		this.deployments.get(5).accept(ENDED, "store");
		this.timer.advance(EVACUATION_MS);
		assertThat(instancesThatKnow(ENDED), is((long) instanceCount));
	}

	// Guards against news that only one lost message carries.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void allInstancesLearnEvacuationThoughMessagesAreLost(int instanceCount) {
		start(instanceCount);
		this.network.setSettings(new LinkSettings(1, 2, 0, 0.3, 0));
		this.deployments.get(4).accept(EVACUATED, "store");
		this.timer.advance(EVACUATION_MS);
		assertThat(instancesThatKnow(EVACUATED), is((long) instanceCount));
	}

	// Guards against a zone that was cut off while an evacuation began and ended, and
	// brings the evacuation back.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void zoneThatWasCutOffLearnsEndOfEvacuation(int instanceCount) {
		start(instanceCount);
		this.deployments.get(4).accept(EVACUATED, "store");
		this.timer.advance(EVACUATION_MS);
		setZoneCut(true);
		this.deployments.get(4).accept(ENDED, "store");
		this.timer.advance(EVACUATION_MS);
		setZoneCut(false);
		this.timer.advance(EVACUATION_MS);
		assertThat(instancesThatKnow(ENDED), is((long) instanceCount));
	}

	// Guards against a restarted instance that does not reach the store and sends
	// requests
	// into a zone that was evacuated before its start.
	@ParameterizedTest
	@ValueSource(ints = { 9, 60 })
	void restartedInstanceLearnsEvacuation(int instanceCount) {
		start(instanceCount);
		this.deployments.get(4).accept(EVACUATED, "store");
		this.timer.advance(EVACUATION_MS);
		this.hosts.get(4).crash();
		this.timer.advance(1_000);
		startInstance(4);
		this.timer.advance(EVACUATION_MS);
		assertThat(instancesThatKnow(EVACUATED), is((long) instanceCount));
	}

	private record DeploymentEvacuations(Deployment deployment) implements EvacuationSharing {

		@Override
		public EvacuatedZones confirmed() {
			return this.deployment.confirmedEvacuations();
		}

		@Override
		public void receivedFrom(InstanceId from, EvacuatedZones evacuations) {
			this.deployment.accept(evacuations, from.value());
		}

	}

}
