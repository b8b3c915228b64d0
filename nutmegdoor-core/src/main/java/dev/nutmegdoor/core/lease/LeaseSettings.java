package dev.nutmegdoor.core.lease;

/**
 * Settings of the lease controller.
 *
 * @param ttlMs life of a lease after its last renewal in milliseconds
 * @param marginMs allowance for clock drift and rounding in milliseconds; subtracted by
 * the holder and added by fencers
 * @param renewMs mean period of renewals in the store in milliseconds
 * @param beatMs period of messages to the witnesses in milliseconds
 * @param requestTimeoutMs longest wait for an answer of a witness in milliseconds
 * @param maxBackOffMs longest pause between renewals during an outage in milliseconds
 * @param reapMs period of attempts to fence silent instances in milliseconds
 */
public record LeaseSettings(long ttlMs, long marginMs, long renewMs, long beatMs, long requestTimeoutMs,
		long maxBackOffMs, long reapMs) {

	/** Defaults of the design. */
	public static final LeaseSettings DEFAULT = new LeaseSettings(10_000, 1000, 3000, 1000, 800, 30_000, 2000);

}
