package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Store object of a partition: who owns it and which instances hold its log.
 *
 * @param owner instance that serves the partition while its lease is valid
 * @param leaseEpoch epoch of that lease
 * @param partitionEpoch rises with each change of owner
 * @param replicas instances that hold the log besides the owner
 */
public record PartitionRecord(InstanceId owner, long leaseEpoch, long partitionEpoch, List<InstanceId> replicas) {

	/** Kind of the store objects. */
	public static final String KIND = "partition";

	public PartitionRecord {
		replicas = List.copyOf(replicas);
	}

	/**
	 * Returns the zone of a partition.
	 * @param partition name of the partition
	 * @return the zone
	 */
	public static AvailabilityZone zoneOf(String partition) {
		return new AvailabilityZone(partition.substring(0, partition.lastIndexOf('.')));
	}

	/**
	 * Reads the content of a store object.
	 * @param value JSON of the record
	 * @return the record
	 */
	public static PartitionRecord parse(String value) {
		return Json.read(value, PartitionRecord.class);
	}

	PartitionRecord withOwner(InstanceId newOwner, long newLeaseEpoch) {
		return new PartitionRecord(newOwner, newLeaseEpoch, this.partitionEpoch + 1, this.replicas);
	}

	PartitionRecord withReplicas(List<InstanceId> newReplicas) {
		return new PartitionRecord(this.owner, this.leaseEpoch, this.partitionEpoch, newReplicas);
	}

}
