package dev.nutmegdoor.core.placement;

import java.util.List;

/**
 * Input of {@link Placement}.
 *
 * @param pool name of the pool of the call, see {@link ReplicaIndex#poolOf}
 * @param promptTokens number of tokens of the prompt, 0 for a service
 * @param answerTokens expected number of tokens of the answer, 0 for a service
 * @param waitedMs time that the call has waited in the queue in milliseconds
 * @param instances number of instances that send calls to the same replicas
 * @param seed seed for breaking ties; differs between instances, so that instances with
 * the same data do not all choose the same replica
 * @param costs cost model of the replicas
 * @param replicas candidates
 * @param unsampledReplicas number of replicas of the pool that are not among the
 * candidates
 */
public record PlacementInput(String pool, int promptTokens, int answerTokens, long waitedMs, int instances, long seed,
		PlacementCosts costs, List<ReplicaView> replicas, int unsampledReplicas) {

	public PlacementInput {
		replicas = List.copyOf(replicas);
	}

}
