package dev.nutmegdoor.core.schedule;

import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.placement.Placement;
import dev.nutmegdoor.core.placement.PlacementDecision;
import dev.nutmegdoor.core.placement.PlacementInput;
import dev.nutmegdoor.core.placement.PlacementRule;
import dev.nutmegdoor.core.placement.ReplicaIndex;
import dev.nutmegdoor.core.placement.Reservation;
import dev.nutmegdoor.core.placement.ScoredReplica;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Selects a replica for a queued call and sends the call if the replica has capacity.
 */
final class Dispatcher {

	/**
	 * Minimum time in milliseconds that a call must have left when it is sent to a cold
	 * replica. Calls wait for one until shortly before their deadlines, and answers take
	 * about 100 ms.
	 */
	static final long MIN_COLD_CALL_MS = 150;

	private final ScheduledCallRunner runner;

	private final ReplicaIndex index;

	private final TimerService timer;

	private final ConfigurationView configuration;

	private final DecisionLog decisions;

	private final DrainChecker drainChecker;

	Dispatcher(ScheduledCallRunner runner, TimerService timer, ConfigurationView configuration, DecisionLog decisions,
			DrainChecker drainChecker) {
		this.runner = runner;
		this.index = runner.index();
		this.timer = timer;
		this.configuration = configuration;
		this.decisions = decisions;
		this.drainChecker = drainChecker;
	}

	boolean dispatch(QueuedCall call) {
		PlacementInput input = placementInput(call);
		PlacementDecision decision = Placement.decide(input);
		ScoredReplica chosen = decision.chosen();
		if (chosen == null) {
			// No candidate is left because the call has failed on each of them. Allow
			// them all again.
			call.failedReplicas.clear();
			return false;
		}
		if (decision.rule() != PlacementRule.LOWEST_COST) {
			if (!call.isDelayRecorded) {
				call.isDelayRecorded = true;
				this.decisions.recordDelayed(call.request, input, decision);
			}
			return false;
		}
		if (this.index.isCold(chosen.id()) && call.deadlineMs - this.timer.nowMs() < MIN_COLD_CALL_MS) {
			return false;
		}
		int uncachedTokens = Math.max(0, input.promptTokens() - this.index.cachedTokens(call.prompt, chosen.id()));
		Reservation reservation = this.index.reserve(chosen.id(), uncachedTokens);
		if (reservation == null) {
			return false;
		}
		this.decisions.recordPlaced(call.request, input, decision);
		this.drainChecker.checkSend(chosen.id(), this.timer.nowMs());
		this.runner.reached(Step.DISPATCH);
		call.attemptCount++;
		send(call, reservation, chosen, uncachedTokens);
		return true;
	}

	// Reserves a slot on a replica that has not failed the call, or returns null if none
	// has capacity.
	@Nullable Reservation reserveForHedge(QueuedCall call) {
		PlacementDecision decision = Placement.decide(placementInput(call));
		ScoredReplica chosen = decision.chosen();
		if (chosen == null || decision.rule() != PlacementRule.LOWEST_COST) {
			return null;
		}
		return this.index.reserve(chosen.id(), 0);
	}

	private PlacementInput placementInput(QueuedCall call) {
		return this.index.collect(call.pool, call.prompt, CallCosts.expectedAnswerTokensOf(call.request),
				this.timer.nowMs() - call.queuedAtMs, Set.copyOf(call.failedReplicas));
	}

	private void send(QueuedCall call, Reservation reservation, ScoredReplica chosen, int uncachedTokens) {
		if (call.request.payload() instanceof RelayedCall relayed) {
			call.chargedMs = CallCosts.isModelRequest(relayed)
					? this.runner.serviceMs(uncachedTokens, relayed.expectedAnswerTokens())
					: this.runner.settings().serviceCallCostMs();
			call.isInterruptible = relayed.isInterruptible();
			new RelayAttempt(this.runner, this.timer, call, relayed, reservation).start();
		}
		else if (call.request.payload() instanceof ModelCall model) {
			call.chargedMs = this.runner.serviceMs(uncachedTokens, model.maxTokens());
			new ModelAttempt(this.runner, this.timer, call, model, reservation, chosen).start();
		}
		else if (call.request.payload() instanceof ServiceCall service) {
			call.chargedMs = this.runner.settings().serviceCallCostMs();
			Repeatability repeatability = repeatabilityOf(service);
			call.isInterruptible = repeatability.isRetryable();
			new ServiceAttempt(this.runner, this.timer, call, service, repeatability).start(reservation);
		}
	}

	// An operation that the configuration doesn't list is treated as at-most-once.
	private Repeatability repeatabilityOf(ServiceCall service) {
		ServiceOperation operation = this.configuration.current()
			.operations()
			.get(service.service() + "/" + service.operation());
		return (operation != null) ? operation.repeatability() : Repeatability.AT_MOST_ONCE;
	}

}
