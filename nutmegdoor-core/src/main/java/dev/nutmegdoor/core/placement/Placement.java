package dev.nutmegdoor.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Chooses the replica for a call. The decision depends only on the input, so that a
 * recorded decision can be verified.
 */
public final class Placement {

	/** Assumed duration of a service call, which generates no tokens, in milliseconds. */
	private static final double ASSUMED_SERVICE_CALL_MS = 50;

	/**
	 * The cost of waiting grows linearly with the time that a call has spent in the queue
	 * and has doubled after this time in milliseconds, so that no call waits indefinitely
	 * for one replica.
	 */
	private static final double WAIT_DOUBLING_MS = 5_000;

	/**
	 * Scale of the random addition for replicas that state how long work takes. In a
	 * simulation of 72 instances and 39 engines, 2 ms earned less credit than 15 to 30
	 * ms, because instances followed each other to the same engines.
	 */
	private static final double SPREAD_MS = 20;

	/** Keeps the logarithms of random fractions finite. */
	private static final double MIN_FRACTION = 1e-6;

	/** Additional time to copy a cached token between zones in milliseconds. */
	private static final double CROSS_ZONE_COPY_PER_TOKEN_MS = 0.01;

	private static final Comparator<ScoredReplica> BY_SCORE = Comparator.comparingDouble(ScoredReplica::scoreMs)
		.thenComparing(ScoredReplica::id);

	private Placement() {
	}

	/**
	 * Decides which replica runs a call.
	 * @param input properties of the call and its candidates
	 * @return the decision with all candidates that are not ejected and their costs
	 */
	public static PlacementDecision decide(PlacementInput input) {
		ReplicaView holder = findHolder(input.replicas());
		List<ScoredReplica> candidates = new ArrayList<>(input.replicas().size());
		for (ReplicaView replica : input.replicas()) {
			if (!replica.isEjected()) {
				candidates.add(score(input, replica, holder));
			}
		}
		if (candidates.isEmpty()) {
			return new PlacementDecision(PlacementRule.NO_REPLICA, null, candidates);
		}
		candidates.sort(BY_SCORE);
		ScoredReplica best = candidates.get(0);
		PlacementRule rule = best.hasPlace() ? PlacementRule.LOWEST_COST : PlacementRule.WAIT_FOR_LOWEST_COST;
		return new PlacementDecision(rule, best, candidates);
	}

	private static @Nullable ReplicaView findHolder(List<ReplicaView> replicas) {
		ReplicaView holder = null;
		for (ReplicaView replica : replicas) {
			if (replica.cachedTokens() > ((holder != null) ? holder.cachedTokens() : 0)) {
				holder = replica;
			}
		}
		return holder;
	}

	private static ScoredReplica score(PlacementInput input, ReplicaView replica, @Nullable ReplicaView holder) {
		PlacementCosts costs = input.costs();
		int inFlight = replica.inFlight();
		int running = Math.min(inFlight, replica.maxConcurrentCalls());
		int uncachedTokens = Math.max(0, input.promptTokens() - replica.cachedTokens());
		PoolTimes times = input.times();
		WorkTime workTime = (times != null) ? replica.workTime() : null;
		// A replica that states nothing, such as one that has just restarted, is compared
		// by the times of its pool, so that it is not preferred for lack of figures.
		double prefillFactor = (times != null) ? times.prefillFactor() : 1;
		boolean isTimedCall = times != null && input.answerTokens() == 0;
		double callMs = (times != null && isTimedCall) ? times.callMs() : 0;
		double idleMs = callMs + uncachedTokens * costs.prefillPerTokenMs() * prefillFactor
				+ input.answerTokens() * (costs.stepBaseMs() + costs.stepPerCallMs() * (running + 1));
		// The ratio of observed to expected response times already contains the speed and
		// the slow periods, which are known better here.
		double timeFactor = (workTime != null) ? workTime.factorOver(idleMs) : replica.slowFactor();
		double stepMs = (costs.stepBaseMs() + costs.stepPerCallMs() * (running + 1)) * timeFactor;
		double perTokenMs = costs.prefillPerTokenMs() * prefillFactor * timeFactor;
		double ownPrefillMs = uncachedTokens * perTokenMs;
		double interferenceMs = ownPrefillMs * costs.interference() * running;
		UpstreamId copyFrom = null;
		if (holder != null && holder.cachedTokens() > replica.cachedTokens()) {
			double copyMs = prefixCopyMs(costs, holder, replica);
			double remainingPrefillMs = (input.promptTokens() - holder.cachedTokens()) * perTokenMs;
			if (copyMs + remainingPrefillMs * (1 + costs.interference() * running) < ownPrefillMs + interferenceMs) {
				copyFrom = holder.id();
				ownPrefillMs = copyMs + remainingPrefillMs;
				interferenceMs = remainingPrefillMs * costs.interference() * running;
			}
		}
		double prefillMs = ownPrefillMs + interferenceMs + replica.backlogTokens() * perTokenMs;
		double decodeMs = input.answerTokens() * stepMs + callMs * timeFactor;
		double evictionMs = Math.max(0, uncachedTokens + input.answerTokens() - replica.freeCacheTokens()) * perTokenMs
				* 0.5;
		double waitMs = expectedWaitMs(input, replica, isTimedCall ? decodeMs : expectedCallMs(input, stepMs));
		double scoreMs = waitMs + prefillMs + decodeMs + evictionMs + replica.crossingMs() + tieBreakMs(input, replica);
		return new ScoredReplica(replica.id(), scoreMs, waitMs, prefillMs + evictionMs, decodeMs, replica.crossingMs(),
				copyFrom, hasFreeSlot(input, replica));
	}

	// Instances that choose by the same outdated figures would all choose the same
	// replica. With this addition, the share of a replica falls by a factor of e for each
	// SPREAD_MS of its additional cost.
	private static double tieBreakMs(PlacementInput input, ReplicaView replica) {
		double fraction = pseudoRandomFraction(input.seed(), replica.id());
		if (input.times() == null) {
			return fraction * input.costs().tieBreakMs();
		}
		return SPREAD_MS * Math.log(-Math.log(MIN_FRACTION + fraction * (1 - 2 * MIN_FRACTION)));
	}

	private static double prefixCopyMs(PlacementCosts costs, ReplicaView holder, ReplicaView target) {
		boolean isCrossing = holder.crossingMs() != target.crossingMs();
		double perTokenMs = costs.copyPerTokenMs() + (isCrossing ? CROSS_ZONE_COPY_PER_TOKEN_MS : 0);
		return costs.copyFixedMs() + holder.cachedTokens() * perTokenMs;
	}

	private static double expectedCallMs(PlacementInput input, double stepMs) {
		return (input.answerTokens() > 0) ? input.answerTokens() * stepMs : ASSUMED_SERVICE_CALL_MS;
	}

	private static double expectedWaitMs(PlacementInput input, ReplicaView replica, double callMs) {
		int callsToFinish = replica.inFlight() - replica.maxConcurrentCalls() + 1;
		if (callsToFinish <= 0) {
			return 0;
		}
		return callsToFinish * callMs / replica.maxConcurrentCalls() * (1 + input.waitedMs() / WAIT_DOUBLING_MS);
	}

	// An instance may reuse the slots that its own calls have freed since the last
	// report. It uses only its share of the slots that were free in that report:
	// otherwise all instances would fill the same few slots before the next report.
	private static boolean hasFreeSlot(PlacementInput input, ReplicaView replica) {
		PlacementCosts costs = input.costs();
		if (input.instances() <= 1) {
			return replica.inFlight() < replica.maxConcurrentCalls() + costs.slack();
		}
		int freeSlots = replica.freeAtReport() + costs.slack();
		int fairShare = Math.max(1, replica.maxConcurrentCalls() / input.instances());
		double share = (double) freeSlots / input.instances();
		if (replica.ownAtReport() < fairShare && freeSlots > -costs.reservedSlots()) {
			share = Math.max(share, 1);
		}
		double roundingOffset = pseudoRandomFraction(~input.seed(), replica.id());
		return replica.ownInFlight() < replica.ownAtReport() + Math.floor(share + roundingOffset);
	}

	// Returns a number from 0 (inclusive) to 1 (exclusive) that depends only on the seed
	// and the replica.
	private static double pseudoRandomFraction(long seed, UpstreamId id) {
		long mixed = (seed ^ id.hashCode()) * 0x9E3779B97F4A7C15L;
		mixed ^= mixed >>> 32;
		mixed *= 0xD6E8FEB86659FD93L;
		return (mixed >>> 11) * 0x1.0p-53;
	}

}
