package dev.nutmegdoor.core.placement;

import java.util.List;

/**
 * Everything that decides the placement of a call.
 *
 * @param pool model or service of the call
 * @param promptTokens tokens of the prompt, 0 for a service
 * @param answerTokens expected tokens of the answer, 0 for a service
 * @param waitedMs time the call has waited in the queue in milliseconds
 * @param instances instances that place calls on the same replicas
 * @param seed breaks ties differently on each instance, so that instances with the same
 * view don't all choose the same replica
 * @param costs cost model
 * @param replicas candidates
 * @param unsampledReplicas replicas of the pool that were left out of the candidates
 */
public record PlacementInput(String pool, int promptTokens, int answerTokens, long waitedMs, int instances, long seed,
		PlacementCosts costs, List<ReplicaView> replicas, int unsampledReplicas) {

	public PlacementInput {
		replicas = List.copyOf(replicas);
	}

}
