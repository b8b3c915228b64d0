package dev.nutmegdoor.node.relay;

import java.net.InetSocketAddress;
import java.util.Collection;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;
import dev.nutmegdoor.core.usage.UsagePeers;

/**
 * The other entry instances as this one sees them. May be used from any thread.
 */
final class Gateways {

	private final UsagePeers peers;

	private final AvailabilityZone ownZone;

	Gateways(UsagePeers peers, AvailabilityZone ownZone) {
		this.peers = peers;
		this.ownZone = ownZone;
	}

	Collection<InstanceId> instances() {
		return this.peers.instanceIds();
	}

	boolean isInOwnZone(InstanceId instance) {
		DirectoryEntry entry = this.peers.entry(instance);
		return entry != null && entry.availabilityZone().equals(this.ownZone);
	}

	@Nullable InetSocketAddress addressOf(InstanceId instance) {
		DirectoryEntry entry = this.peers.entry(instance);
		return (entry != null) ? new InetSocketAddress(entry.host(), entry.port()) : null;
	}

}
