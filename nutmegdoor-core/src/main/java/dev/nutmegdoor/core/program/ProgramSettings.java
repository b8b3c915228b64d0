package dev.nutmegdoor.core.program;

import java.util.List;

import dev.nutmegdoor.core.id.AvailabilityZone;

/**
 * Settings of program homes. Times are in milliseconds.
 *
 * @param partitionsPerZone number of partitions of each zone; the same on all instances
 * @param keyZones zones over which idempotency keys are distributed; the same on all
 * instances and not to be changed while keys are kept
 * @param tickMs period of ownership checks and retries
 * @param tableRefreshMs age after which the partition table is read again
 * @param appendTimeoutMs timeout of requests to replicas and, in a handover, to the
 * successor
 * @param replaceReplicaMs time without an answer after which a replica is replaced
 * @param batchEntries maximum number of entries in one append
 * @param earlyWaitMs maximum wait of a call whose predecessor has not completed
 * @param detachedMs time for which a turn continues after its last caller has
 * disconnected
 * @param idleExpiryMs time without a call after which a program is closed
 * @param retryMs period of retries of releases and outcomes
 * @param keyRetentionMs time for which a caller can repeat a request with the same
 * idempotency key
 * @param intentCopies minimum number of replicas that must have stored an intent before
 * the operation is sent
 * @param rebalanceMs minimum time between two handovers while the instance does not drain
 */
public record ProgramSettings(int partitionsPerZone, List<AvailabilityZone> keyZones, long tickMs, long tableRefreshMs,
		long appendTimeoutMs, long replaceReplicaMs, int batchEntries, long earlyWaitMs, long detachedMs,
		long idleExpiryMs, long retryMs, long keyRetentionMs, int intentCopies, long rebalanceMs) {

	public ProgramSettings {
		keyZones = List.copyOf(keyZones);
		if (partitionsPerZone < 1 || keyZones.isEmpty()) {
			throw new IllegalArgumentException("partitionsPerZone has to be at least 1 and keyZones must not be empty");
		}
	}

	/**
	 * Returns the default settings.
	 * @param keyZones all availability zones of the deployment
	 * @return settings with 64 partitions per zone
	 */
	public static ProgramSettings defaults(List<AvailabilityZone> keyZones) {
		return new ProgramSettings(64, keyZones, 500, 10_000, 300, 2_000, 500, 2_000, 10_000, 3_600_000, 1_000,
				86_400_000, 2, 5_000);
	}

	/**
	 * Returns a copy of these settings with another number of partitions.
	 * @param partitions number of partitions of each zone, at least 1
	 * @return the copy
	 */
	public ProgramSettings withPartitionsPerZone(int partitions) {
		return new ProgramSettings(partitions, this.keyZones, this.tickMs, this.tableRefreshMs, this.appendTimeoutMs,
				this.replaceReplicaMs, this.batchEntries, this.earlyWaitMs, this.detachedMs, this.idleExpiryMs,
				this.retryMs, this.keyRetentionMs, this.intentCopies, this.rebalanceMs);
	}

}
