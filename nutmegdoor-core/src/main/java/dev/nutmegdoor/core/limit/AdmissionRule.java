package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Decides how a request is admitted: from the local bucket, from the bucket of another
 * holder, or by gathering token fractions from several holders. The decision is a pure
 * function of its inputs and can be replayed.
 */
public final class AdmissionRule {

	/**
	 * An overloaded holder whose own next token is due within this time does not gather
	 * fractions.
	 */
	private static final long IMMINENT_TOKEN_MS = 1000;

	private AdmissionRule() {
	}

	/**
	 * Decides the next step of an admission.
	 * @param inputs state of the local bucket and of the other holders
	 * @return the step, with the name of the rule that chose it
	 */
	public static AdmissionStep decide(AdmissionInputs inputs) {
		if (inputs.limit().burst() == 0) {
			return reject(Long.MAX_VALUE, "workspace_not_configured");
		}
		if (inputs.isLeaseValid() && inputs.bucket().hasToken()) {
			return new AdmissionStep(AdmissionStep.Kind.ADMIT, List.of(), 0, "own_bucket");
		}
		if (inputs.isBlocked()) {
			return delayOrReject(inputs);
		}
		AdmissionPeer bestPeer = null;
		for (AdmissionPeer peer : inputs.peers()) {
			if (peer.canAdmit() && (bestPeer == null || QUERY_ORDER.compare(peer, bestPeer) < 0)) {
				bestPeer = peer;
			}
		}
		if (bestPeer != null) {
			return new AdmissionStep(AdmissionStep.Kind.ASK, List.of(bestPeer.id()), 0, "other_holder");
		}
		if (!inputs.isLeaseValid()) {
			return reject(timeToTokenMs(inputs), "lease_not_valid");
		}
		if (inputs.isGathering()) {
			return new AdmissionStep(AdmissionStep.Kind.WAIT, List.of(), 0, "tokens_on_their_way");
		}
		long missingMicro = Limit.MICRO_PER_TOKEN - inputs.bucket().tokensMicro();
		// An overloaded holder whose own next token is due soon waits for it. Gathering
		// fractions would only shift the rejection to another holder.
		long units = inputs.bucket().units();
		boolean isOwnTokenImminent = inputs.isOverloaded()
				&& inputs.limit().capacityMicro(units) >= Limit.MICRO_PER_TOKEN
				&& inputs.limit().refillTimeMs(units, missingMicro) <= IMMINENT_TOKEN_MS;
		if (!isOwnTokenImminent) {
			List<InstanceId> donors = findDonors(inputs, missingMicro);
			if (!donors.isEmpty()) {
				return new AdmissionStep(AdmissionStep.Kind.GATHER, donors, 0, "gathered");
			}
		}
		return delayOrReject(inputs);
	}

	private static AdmissionStep delayOrReject(AdmissionInputs inputs) {
		long timeToTokenMs = timeToTokenMs(inputs);
		if (!inputs.isOverloaded() && timeToTokenMs <= inputs.maxDelayMs()) {
			return new AdmissionStep(AdmissionStep.Kind.DELAY, List.of(), timeToTokenMs, "token_due");
		}
		return reject(timeToTokenMs, "exhausted");
	}

	private static final Comparator<AdmissionPeer> QUERY_ORDER = Comparator
		.comparing((AdmissionPeer peer) -> !peer.isSameZone())
		.thenComparing((peer) -> !peer.isKnown())
		.thenComparing((peer) -> -peer.tokensMicro())
		.thenComparing(AdmissionPeer::id);

	private static List<InstanceId> findDonors(AdmissionInputs inputs, long missingMicro) {
		List<AdmissionPeer> peers = new ArrayList<>(inputs.peers());
		peers.removeIf((peer) -> !peer.isKnown() || peer.tokensMicro() <= 0);
		peers.sort(Comparator.comparing((AdmissionPeer peer) -> -peer.tokensMicro()).thenComparing(AdmissionPeer::id));
		List<InstanceId> donors = new ArrayList<>();
		long availableMicro = 0;
		for (AdmissionPeer peer : peers) {
			if (availableMicro < missingMicro) {
				availableMicro += peer.tokensMicro();
				donors.add(peer.id());
			}
		}
		return (availableMicro >= missingMicro) ? donors : List.of();
	}

	private static long timeToTokenMs(AdmissionInputs inputs) {
		long tokensMicro = inputs.bucket().tokensMicro();
		long units = inputs.bucket().units();
		for (AdmissionPeer peer : inputs.peers()) {
			if (peer.isKnown()) {
				tokensMicro += peer.tokensMicro();
				units += peer.units();
			}
		}
		return inputs.limit()
			.refillTimeMs(Math.min(units, Limit.SHARE_UNITS), Math.max(1, Limit.MICRO_PER_TOKEN - tokensMicro));
	}

	private static AdmissionStep reject(long retryAfterMs, String rule) {
		return new AdmissionStep(AdmissionStep.Kind.REFUSE, List.of(), Math.min(retryAfterMs, 86_400_000), rule);
	}

}
