package dev.nutmegdoor.core.program;

/**
 * Receives the partitions that this instance starts and stops serving.
 */
interface HomeListener {

	/**
	 * Called when a partition is recovered and this instance serves it.
	 * @param home the recovered partition
	 */
	void opened(PartitionHome home);

	/**
	 * Called when this instance has stopped serving a partition, after a handover or
	 * because its ownership was lost.
	 * @param home the partition, already marked as lost
	 */
	void lost(PartitionHome home);

}
