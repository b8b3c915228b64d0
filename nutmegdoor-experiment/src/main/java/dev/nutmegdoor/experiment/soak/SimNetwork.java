package dev.nutmegdoor.experiment.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.fake.FakeObjectStore;
import dev.nutmegdoor.core.fake.FakePeerNetwork;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;

/**
 * Hosts, zones and what can reach what.
 */
final class SimNetwork {

	private final FakePeerNetwork peers;

	private final FakeObjectStore store;

	private final List<AvailabilityZone> zones;

	private final List<FakeHost> hosts = new ArrayList<>();

	private final Set<AvailabilityZone> cutZones = new HashSet<>();

	private boolean isStoreUp = true;

	SimNetwork(FakePeerNetwork peers, FakeObjectStore store, List<AvailabilityZone> zones) {
		this.peers = peers;
		this.store = store;
		this.zones = List.copyOf(zones);
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

	/**
	 * Returns the platform's list of instances as one host sees it.
	 * @param reader the host
	 * @return the running instances; fails if the platform can't be reached
	 */
	CompletableFuture<List<DirectoryEntry>> directory(FakeHost reader) {
		if (!isStoreReachable(reader)) {
			return CompletableFuture
				.failedFuture(new StoreException(StoreFailure.UNAVAILABLE, "the platform can't be reached"));
		}
		return CompletableFuture.completedFuture(this.hosts.stream()
			.filter((host) -> !host.isCrashed())
			.map((host) -> new DirectoryEntry(host.id(), host.availabilityZone(), "127.0.0.1", 1, false))
			.toList());
	}

}
