package dev.nutmegdoor.core.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Cluster of instances in several zones that run on virtual time with a fake store and a
 * fake network.
 */
public final class TestCluster {

	public final VirtualTimerService timer = new VirtualTimerService(1_700_000_000_000L);

	public final FakeObjectStore store;

	public final FakePeerNetwork network;

	public final Map<InstanceId, ClusterNode> nodes = new TreeMap<>();

	private final Set<String> cutZones = new HashSet<>();

	private final long seed;

	public TestCluster(long seed, int zones, int nodesPerZone) {
		this.seed = seed;
		this.store = new FakeObjectStore(this.timer, RandomSource.XO_SHI_RO_256_PP.create(seed), StoreFaults.NONE);
		this.network = new FakePeerNetwork(RandomSource.XO_SHI_RO_256_PP.create(seed + 1), LinkSettings.RELIABLE);
		for (int i = 0; i < zones * nodesPerZone; i++) {
			add(String.format("i-%03d", i), zone(i % zones), new HashMap<>());
		}
	}

	public static AvailabilityZone zone(int index) {
		return new AvailabilityZone("zone-" + index);
	}

	/**
	 * Adds an instance without starting it.
	 * @param id identifier of the instance
	 * @param zone availability zone of the instance
	 * @param disk entries of its {@link LocalPersistence}; kept up to date by the
	 * instance
	 * @return the added instance
	 */
	public ClusterNode add(String id, AvailabilityZone zone, Map<String, String> disk) {
		FakeHost host = new FakeHost(this.timer, new InstanceId(id), zone, 0);
		ClusterNode node = new ClusterNode(this, host, this.seed * 1_000 + this.nodes.size(), disk);
		this.nodes.put(host.id(), node);
		startHeartbeats(node);
		return node;
	}

	public void start() {
		this.nodes.values().forEach(ClusterNode::start);
		this.timer.advance(2_000);
	}

	private void startHeartbeats(ClusterNode node) {
		node.transport.subscribe(ClusterHeartbeat.class, (from, message) -> {
			node.configuration.onPeerVersion(from, message.configurationVersion());
			node.withdrawals.onPeerDigest(from, message.withdrawalDigest());
			return null;
		});
		node.host.subscribe(1_000,
				() -> FanOut.targets(node)
					.forEach((peer) -> node.transport.send(peer,
							new ClusterHeartbeat(node.configuration.version(), node.withdrawals.digest()))));
	}

	public ClusterNode node(int index) {
		return List.copyOf(this.nodes.values()).get(index);
	}

	/**
	 * Disconnects a zone from the other zones and from the store, or reconnects it.
	 * @param zone zone to be partitioned
	 * @param isCut {@code true} to disconnect, {@code false} to reconnect
	 */
	public void setCut(AvailabilityZone zone, boolean isCut) {
		this.store.setCut(zone, isCut);
		this.nodes.values()
			.stream()
			.map((node) -> node.host.availabilityZone())
			.distinct()
			.filter((other) -> !other.equals(zone))
			.forEach((other) -> this.network.setCut(zone, other, isCut));
		if (isCut) {
			this.cutZones.add(zone.value());
		}
		else {
			this.cutZones.remove(zone.value());
		}
	}

	public <T> T await(CompletableFuture<T> future) {
		for (int i = 0; i < 60_000 && !future.isDone(); i++) {
			this.timer.advance(1);
		}
		return future.join();
	}

	boolean isSuspect(ClusterNode observer, ClusterNode node) {
		boolean isCut = !observer.host.availabilityZone().equals(node.host.availabilityZone())
				&& (this.cutZones.contains(observer.host.availabilityZone().value())
						|| this.cutZones.contains(node.host.availabilityZone().value()));
		return node.host.isCrashed() || isCut;
	}

}
