package dev.nutmegdoor.core.ledger;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.DirectoryEntry;

/**
 * A replica of the ledger.
 *
 * @param id the instance
 * @param zone its zone
 * @param host IP number
 * @param port port for messages
 */
public record LedgerMember(InstanceId id, AvailabilityZone zone, String host, int port) {

	/**
	 * Creates a replica from its entry in the platform's store.
	 * @param entry the entry
	 * @return the replica
	 */
	public static LedgerMember of(DirectoryEntry entry) {
		return new LedgerMember(entry.id(), entry.availabilityZone(), entry.host(), entry.port());
	}

	DirectoryEntry toEntry() {
		return new DirectoryEntry(this.id, this.zone, this.host, this.port, false);
	}

}
