package dev.nutmegdoor.core.limit;

import java.util.List;

/**
 * Complete input of {@link AdmissionRule}: the same inputs always give the same step.
 *
 * @param limit rate and burst of the workspace
 * @param isLeaseValid whether this instance may use its local bucket
 * @param bucket local bucket, refilled up to now
 * @param peers the other responsive holders
 * @param isBlocked whether all holders together recently had no whole token and cannot
 * have refilled one since, so that they are not queried again yet
 * @param isOverloaded whether the local demand exceeds the local share
 * @param isGathering whether tokens requested from other holders may still arrive
 * @param maxDelayMs maximum time to delay the request until a token is due, in
 * milliseconds; 0 if it was delayed already
 */
public record AdmissionInputs(Limit limit, boolean isLeaseValid, Bucket bucket, List<AdmissionPeer> peers,
		boolean isBlocked, boolean isOverloaded, boolean isGathering, long maxDelayMs) {

	public AdmissionInputs {
		peers = List.copyOf(peers);
	}

}
