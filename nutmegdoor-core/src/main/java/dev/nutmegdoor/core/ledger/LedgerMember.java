package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * A replica of the ledger.
 *
 * @param id the instance that runs the replica
 * @param zone availability zone of the instance
 * @param host IP address
 * @param port port for peer messages
 */
public record LedgerMember(InstanceId id, AvailabilityZone zone, String host, int port) {

	/**
	 * Creates a replica from its registration in the platform's store.
	 * @param entry the registration
	 * @return the replica with the same identifier, zone and address
	 */
	public static LedgerMember of(DirectoryEntry entry) {
		return new LedgerMember(entry.id(), entry.availabilityZone(), entry.host(), entry.port());
	}

	DirectoryEntry toEntry() {
		return new DirectoryEntry(this.id, this.zone, this.host, this.port, false);
	}

}
