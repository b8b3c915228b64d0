package dev.nutmegdoor.core.lease;

/**
 * Settings of a {@link LeaseController}.
 *
 * @param ttlMs term of a lease from its last renewal, in milliseconds
 * @param marginMs allowance for clock drift and rounding, in milliseconds; the holder
 * subtracts it from the term and fencers add it
 * @param renewMs mean interval between renewals in the store, in milliseconds
 * @param beatMs interval between heartbeats to the witnesses, in milliseconds
 * @param requestTimeoutMs maximum wait for the reply of a witness, in milliseconds
 * @param maxBackOffMs maximum mean back-off between renewals during an outage of the
 * store, in milliseconds
 * @param reapMs interval between attempts to fence unresponsive instances, in
 * milliseconds
 */
public record LeaseSettings(long ttlMs, long marginMs, long renewMs, long beatMs, long requestTimeoutMs,
		long maxBackOffMs, long reapMs) {

	/** Default settings. */
	public static final LeaseSettings DEFAULT = new LeaseSettings(10_000, 1000, 3000, 1000, 800, 30_000, 2000);

}
