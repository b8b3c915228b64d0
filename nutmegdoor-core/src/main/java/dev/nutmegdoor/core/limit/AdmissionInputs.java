package dev.nutmegdoor.core.limit;

import java.util.List;

/**
 * Everything that decides the next step of an admission.
 *
 * @param limit rate and burst
 * @param isLeaseValid whether this instance may use its own bucket
 * @param bucket own bucket, refilled
 * @param peers the other holders
 * @param isBlocked whether all holders together were found to have no whole token and
 * could not have earned one since
 * @param isOverloaded whether the own demand exceeds the own share
 * @param isGathering whether tokens of other holders are on their way
 * @param maxDelayMs longest time to hold the request back until a token is due, in
 * milliseconds; 0 if it was held back already
 */
public record AdmissionInputs(Limit limit, boolean isLeaseValid, Bucket bucket, List<AdmissionPeer> peers,
		boolean isBlocked, boolean isOverloaded, boolean isGathering, long maxDelayMs) {

	public AdmissionInputs {
		peers = List.copyOf(peers);
	}

}
