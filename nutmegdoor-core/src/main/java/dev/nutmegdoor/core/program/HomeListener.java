package dev.nutmegdoor.core.program;

/**
 * Learns which partitions this instance serves.
 */
interface HomeListener {

	/**
	 * Called when a partition is recovered and may be served.
	 * @param home the partition
	 */
	void opened(PartitionHome home);

	/**
	 * Called when a partition is owned by another instance.
	 * @param home the partition
	 */
	void lost(PartitionHome home);

}
