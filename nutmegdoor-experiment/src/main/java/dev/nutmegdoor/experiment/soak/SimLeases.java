package dev.nutmegdoor.experiment.soak;

import java.util.LinkedHashMap;
import java.util.Map;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Stands for the lease records and witnesses of all instances. A lease is renewed through
 * the store or through another instance of the zone, and ended only when its holder has
 * been silent for longer than its validity and its zone can be asked.
 */
final class SimLeases {

	static final long RENEW_MS = 3_000;

	static final long TTL_MS = 10_000;

	static final long MARGIN_MS = 1_000;

	private final SimNetwork network;

	private final Map<InstanceId, SimLease> leases = new LinkedHashMap<>();

	SimLeases(SimNetwork network) {
		this.network = network;
	}

	SimLease join(FakeHost host) {
		SimLease lease = new SimLease(host, this);
		this.leases.put(host.id(), lease);
		return lease;
	}

	SimLease lease(InstanceId id) {
		SimLease lease = this.leases.get(id);
		if (lease == null) {
			throw new IllegalArgumentException("no instance " + id);
		}
		return lease;
	}

	boolean canRenew(FakeHost host) {
		return this.network.isStoreReachable(host) || this.network.hasLiveNeighbour(host);
	}

	boolean tryFence(FakeHost fencer, InstanceId holder) {
		SimLease lease = this.leases.get(holder);
		if (lease == null || !this.network.isStoreReachable(fencer)) {
			return false;
		}
		if (this.network.isZoneCut(lease.host().availabilityZone())) {
			return false;
		}
		return lease.fenceIfExpired(this.network.nowMs());
	}

}
