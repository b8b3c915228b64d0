package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Snapshot of a {@link PartitionController}.
 *
 * @param owned partitions that the instance serves
 * @param recovering names of the partitions that the instance is recovering
 * @param replicatedPrograms number of programs whose log the instance stores as a replica
 * @param soleCopies number of partitions for which the owner reports this instance as the
 * only reachable replica
 * @param knownPartitions number of partitions in the cached table
 */
public record PartitionDump(List<Owned> owned, List<String> recovering, int replicatedPrograms, int soleCopies,
		int knownPartitions) {

	public PartitionDump {
		owned = List.copyOf(owned);
		recovering = List.copyOf(recovering);
	}

	/**
	 * One served partition.
	 *
	 * @param partition name of the partition
	 * @param epoch partition epoch under which it is served
	 * @param programs number of programs and logs of idempotency keys
	 * @param replicas instances that store the log in addition to the owner
	 * @param degradedAppends number of entries acknowledged before all required replicas
	 * had stored them, or with fewer replicas than configured
	 * @param isFrozen whether new programs and calls are rejected for a handover
	 */
	public record Owned(String partition, long epoch, int programs, List<InstanceId> replicas, long degradedAppends,
			boolean isFrozen) {

	}

}
