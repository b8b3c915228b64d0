package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.time.VirtualTimerService;

/**
 * Hosts, zones and what can reach what.
 */
final class SimNetwork {

	private final VirtualTimerService timer;

	private final FakePeerNetwork peers;

	private final FakeObjectStore store;

	private final List<AvailabilityZone> zones;

	private final List<FakeHost> hosts = new ArrayList<>();

	private final Set<AvailabilityZone> cutZones = new HashSet<>();

	private boolean isStoreUp = true;

	SimNetwork(VirtualTimerService timer, FakePeerNetwork peers, FakeObjectStore store, List<AvailabilityZone> zones) {
		this.timer = timer;
		this.peers = peers;
		this.store = store;
		this.zones = List.copyOf(zones);
	}

	long nowMs() {
		return this.timer.nowMs();
	}

	void add(FakeHost host) {
		this.hosts.add(host);
	}

	List<FakeHost> hosts() {
		return this.hosts;
	}

	void setZoneCut(AvailabilityZone zone, boolean isCut) {
		this.store.setCut(zone, isCut);
		for (AvailabilityZone other : this.zones) {
			if (!other.equals(zone)) {
				this.peers.setCut(zone, other, isCut);
			}
		}
		if (isCut) {
			this.cutZones.add(zone);
		}
		else {
			this.cutZones.remove(zone);
		}
	}

	void setStoreUp(boolean isUp) {
		this.isStoreUp = isUp;
		this.store.setAvailable(isUp);
	}

	boolean isZoneCut(AvailabilityZone zone) {
		return this.cutZones.contains(zone);
	}

	boolean isAnyZoneCut() {
		return !this.cutZones.isEmpty();
	}

	boolean isStoreReachable(FakeHost host) {
		return this.isStoreUp && !isZoneCut(host.availabilityZone());
	}

	boolean hasLiveNeighbour(FakeHost host) {
		return this.hosts.stream()
			.anyMatch((other) -> other != host && other.availabilityZone().equals(host.availabilityZone())
					&& !other.isCrashed() && !other.isPaused());
	}

	boolean isConnected(FakeHost one, FakeHost other) {
		boolean isSameZone = one.availabilityZone().equals(other.availabilityZone());
		boolean isCut = isZoneCut(one.availabilityZone()) || isZoneCut(other.availabilityZone());
		return !one.isCrashed() && !other.isCrashed() && !other.isPaused() && (isSameZone || !isCut);
	}

}
