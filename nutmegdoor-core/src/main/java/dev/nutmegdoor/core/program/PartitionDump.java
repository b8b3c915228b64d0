package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * State of a partition controller.
 *
 * @param owned partitions served
 * @param recovering partitions being recovered
 * @param replicatedPrograms programs held as a replica
 * @param soleCopies partitions of which this replica holds the only copy besides the
 * owner
 * @param knownPartitions partitions in the cached table
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
	 * @param partition name
	 * @param epoch partition epoch
	 * @param programs programs in it
	 * @param replicas instances that hold its log
	 * @param degradedAppends entries acknowledged with fewer copies than intended
	 * @param isFrozen whether it is being handed over
	 */
	public record Owned(String partition, long epoch, int programs, List<InstanceId> replicas, long degradedAppends,
			boolean isFrozen) {

	}

}
