package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Settings of program homes. Times are in milliseconds.
 *
 * @param partitionsPerZone partitions of each zone; the same on all instances
 * @param keyZones zones over which idempotency keys are spread; the same on all instances
 * and never changed while keys are remembered
 * @param tickMs period of ownership checks and retries
 * @param tableRefreshMs age after which the partition table is read again
 * @param appendTimeoutMs wait for a replica's answer
 * @param replaceReplicaMs silence after which a replica is replaced
 * @param batchEntries largest number of entries in one append
 * @param earlyWaitMs longest wait of a call whose predecessor has not completed
 * @param detachedMs time for which a call without any caller goes on
 * @param idleExpiryMs time without a call after which a program ends
 * @param retryMs period of retries of releases and outcomes
 * @param keyRetentionMs time for which an idempotency key is remembered
 * @param intentCopies replicas that must hold an intent before the operation is sent
 * @param rebalanceMs least time between two voluntary hand-overs
 */
public record ProgramSettings(int partitionsPerZone, List<AvailabilityZone> keyZones, long tickMs, long tableRefreshMs,
		long appendTimeoutMs, long replaceReplicaMs, int batchEntries, long earlyWaitMs, long detachedMs,
		long idleExpiryMs, long retryMs, long keyRetentionMs, int intentCopies, long rebalanceMs) {

	public ProgramSettings {
		keyZones = List.copyOf(keyZones);
		if (partitionsPerZone < 1 || keyZones.isEmpty()) {
			throw new IllegalArgumentException("at least one partition and one zone are needed");
		}
	}

	/**
	 * Returns the settings of the design page.
	 * @param keyZones all zones of the deployment
	 * @return the defaults
	 */
	public static ProgramSettings defaults(List<AvailabilityZone> keyZones) {
		return new ProgramSettings(64, keyZones, 500, 10_000, 300, 2_000, 500, 2_000, 10_000, 3_600_000, 1_000,
				86_400_000, 2, 5_000);
	}

	/**
	 * Returns the same settings with another number of partitions.
	 * @param partitions partitions of each zone
	 * @return the settings
	 */
	public ProgramSettings withPartitionsPerZone(int partitions) {
		return new ProgramSettings(partitions, this.keyZones, this.tickMs, this.tableRefreshMs, this.appendTimeoutMs,
				this.replaceReplicaMs, this.batchEntries, this.earlyWaitMs, this.detachedMs, this.idleExpiryMs,
				this.retryMs, this.keyRetentionMs, this.intentCopies, this.rebalanceMs);
	}

}
