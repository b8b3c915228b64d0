package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;

/**
 * Content of the store object of a partition: its owner and the replicas of its log.
 *
 * @param owner instance that serves the partition while its lease is valid
 * @param leaseEpoch epoch of the owner's lease
 * @param partitionEpoch increases with each claim and handover of the partition
 * @param replicas instances that store the log in addition to the owner
 */
public record PartitionRecord(InstanceId owner, long leaseEpoch, long partitionEpoch, List<InstanceId> replicas) {

	/** Kind of these objects in the store. */
	public static final String KIND = "partition";

	public PartitionRecord {
		replicas = List.copyOf(replicas);
	}

	/**
	 * Returns the availability zone of a partition.
	 * @param partition name in the form {@code zone.number}
	 * @return the part of the name before the last dot
	 */
	public static AvailabilityZone zoneOf(String partition) {
		return new AvailabilityZone(partition.substring(0, partition.lastIndexOf('.')));
	}

	/**
	 * Parses the content of a store object.
	 * @param value record as JSON
	 * @return the record
	 * @throws IllegalArgumentException if the JSON is not valid
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
