package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Decides how a request is admitted: from the own bucket, from the bucket of another
 * holder, or from fractions of tokens of several holders.
 */
public final class AdmissionRule {

	private static final long EARNS_SOON_MS = 1000;

	private AdmissionRule() {
	}

	/**
	 * Decides the next step.
	 * @param inputs state as known now
	 * @return the step
	 */
	public static AdmissionStep decide(AdmissionInputs inputs) {
		if (inputs.limit().burst() == 0) {
			return refuse(Long.MAX_VALUE, "workspace_not_configured");
		}
		if (inputs.isLeaseValid() && inputs.bucket().hasToken()) {
			return new AdmissionStep(AdmissionStep.Kind.ADMIT, List.of(), 0, "own_bucket");
		}
		if (inputs.isBlocked()) {
			return delayOrRefuse(inputs);
		}
		AdmissionPeer best = null;
		for (AdmissionPeer peer : inputs.peers()) {
			if (peer.canAdmit() && (best == null || ASK_ORDER.compare(peer, best) < 0)) {
				best = peer;
			}
		}
		if (best != null) {
			return new AdmissionStep(AdmissionStep.Kind.ASK, List.of(best.id()), 0, "other_holder");
		}
		if (!inputs.isLeaseValid()) {
			return refuse(missingMs(inputs), "lease_not_valid");
		}
		if (inputs.isGathering()) {
			return new AdmissionStep(AdmissionStep.Kind.WAIT, List.of(), 0, "tokens_on_their_way");
		}
		long missing = Limit.TOKEN - inputs.bucket().tokensMicro();
		// An overloaded holder soon earns a whole token itself; moving fractions would
		// only move the refusal elsewhere.
		long units = inputs.bucket().units();
		boolean earnsItself = inputs.isOverloaded() && inputs.limit().capacityMicro(units) >= Limit.TOKEN
				&& inputs.limit().earnMs(units, missing) <= EARNS_SOON_MS;
		if (!earnsItself) {
			List<InstanceId> givers = findDonors(inputs, missing);
			if (!givers.isEmpty()) {
				return new AdmissionStep(AdmissionStep.Kind.GATHER, givers, 0, "gathered");
			}
		}
		return delayOrRefuse(inputs);
	}

	private static AdmissionStep delayOrRefuse(AdmissionInputs inputs) {
		long missingMs = missingMs(inputs);
		if (!inputs.isOverloaded() && missingMs <= inputs.maxDelayMs()) {
			return new AdmissionStep(AdmissionStep.Kind.DELAY, List.of(), missingMs, "token_due");
		}
		return refuse(missingMs, "exhausted");
	}

	private static final Comparator<AdmissionPeer> ASK_ORDER = Comparator
		.comparing((AdmissionPeer peer) -> !peer.isSameZone())
		.thenComparing((peer) -> !peer.isKnown())
		.thenComparing((peer) -> -peer.tokensMicro())
		.thenComparing(AdmissionPeer::id);

	private static List<InstanceId> findDonors(AdmissionInputs inputs, long missing) {
		List<AdmissionPeer> peers = new ArrayList<>(inputs.peers());
		peers.removeIf((peer) -> !peer.isKnown() || peer.tokensMicro() <= 0);
		peers.sort(Comparator.comparing((AdmissionPeer peer) -> -peer.tokensMicro()).thenComparing(AdmissionPeer::id));
		List<InstanceId> givers = new ArrayList<>();
		long found = 0;
		for (AdmissionPeer peer : peers) {
			if (found < missing) {
				found += peer.tokensMicro();
				givers.add(peer.id());
			}
		}
		return (found >= missing) ? givers : List.of();
	}

	private static long missingMs(AdmissionInputs inputs) {
		long tokens = inputs.bucket().tokensMicro();
		long units = inputs.bucket().units();
		for (AdmissionPeer peer : inputs.peers()) {
			if (peer.isKnown()) {
				tokens += peer.tokensMicro();
				units += peer.units();
			}
		}
		return inputs.limit().earnMs(Math.min(units, Limit.SHARE_UNITS), Math.max(1, Limit.TOKEN - tokens));
	}

	private static AdmissionStep refuse(long retryAfterMs, String rule) {
		return new AdmissionStep(AdmissionStep.Kind.REFUSE, List.of(), Math.min(retryAfterMs, 86_400_000), rule);
	}

}
