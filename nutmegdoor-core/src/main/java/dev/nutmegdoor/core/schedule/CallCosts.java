package dev.nutmegdoor.core.schedule;

import java.util.List;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.placement.PlacementCosts;
import dev.nutmegdoor.core.placement.PromptPart;
import dev.nutmegdoor.core.placement.ReplicaIndex;

/**
 * Determines the replica pool, the prompt and the estimated service time of calls.
 */
final class CallCosts {

	/** Calls that a busy engine decodes together in one step. */
	private static final int FULL_BATCH_SIZE = 32;

	/**
	 * Lower bound of the time to decode one token, as a fraction of a step's base time.
	 */
	private static final double MIN_STEP_TIME_FRACTION = 0.5;

	private final PlacementCosts costs;

	CallCosts(PlacementCosts costs) {
		this.costs = costs;
	}

	// Returns the engine time of a call in milliseconds. Decoding is charged as one
	// call's part of a full batch.
	double serviceMs(int uncachedTokens, int answerTokens) {
		double decodePerTokenMs = this.costs.stepBaseMs() / FULL_BATCH_SIZE + this.costs.stepPerCallMs();
		return Math.max(0, uncachedTokens) * this.costs.prefillPerTokenMs() + answerTokens * decodePerTokenMs;
	}

	double minServiceMs(CallRequest request) {
		if (request.payload() instanceof RelayedCall relayed) {
			return relayed.minServiceMs();
		}
		return (request.payload() instanceof ModelCall model)
				? model.maxTokens() * this.costs.stepBaseMs() * MIN_STEP_TIME_FRACTION : 1;
	}

	static int expectedAnswerTokensOf(CallRequest request) {
		if (request.payload() instanceof RelayedCall relayed) {
			return relayed.expectedAnswerTokens();
		}
		return (request.payload() instanceof ModelCall model) ? model.maxTokens() : 0;
	}

	static List<PromptPart> promptOf(CallRequest request, String promptOwner) {
		if (request.payload() instanceof RelayedCall relayed) {
			return relayed.prompt();
		}
		return (request.payload() instanceof ModelCall model)
				? List.of(new PromptPart(promptOwner, model.promptTokens())) : List.of();
	}

	static boolean isModelRequest(RelayedCall call) {
		return call.maxAnswerTokens() > 0;
	}

	static String poolOf(CallRequest request) {
		if (request.payload() instanceof ModelCall model) {
			return ReplicaIndex.poolOf(UpstreamKind.MODEL_ENGINE, model.model());
		}
		if (request.payload() instanceof RelayedCall relayed) {
			String pool = ReplicaIndex.poolOf(UpstreamKind.SERVICE, relayed.service());
			return (relayed.softwareVersion() != null) ? ReplicaIndex.poolOf(pool, relayed.softwareVersion()) : pool;
		}
		ServiceCall serviceCall = (ServiceCall) request.payload();
		return ReplicaIndex.poolOf(UpstreamKind.SERVICE, serviceCall.service());
	}

}
