package dev.nutmegdoor.core.placement;

import java.util.List;

import org.jspecify.annotations.Nullable;

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
 * @param times times that were learned for the pool; {@code null} if none of the
 * candidates states how long work takes
 */
public record PlacementInput(String pool, int promptTokens, int answerTokens, long waitedMs, int instances, long seed,
		PlacementCosts costs, List<ReplicaView> replicas, int unsampledReplicas, @Nullable PoolTimes times) {

	public PlacementInput {
		replicas = List.copyOf(replicas);
	}

	/**
	 * Creates the input for a pool whose replicas do not state how long work takes.
	 * @param pool name of the pool of the call
	 * @param promptTokens number of tokens of the prompt
	 * @param answerTokens expected number of tokens of the answer
	 * @param waitedMs time that the call has waited in the queue in milliseconds
	 * @param instances number of instances that send calls to the same replicas
	 * @param seed seed for breaking ties
	 * @param costs cost model of the replicas
	 * @param replicas candidates
	 * @param unsampledReplicas number of replicas that are not among the candidates
	 */
	public PlacementInput(String pool, int promptTokens, int answerTokens, long waitedMs, int instances, long seed,
			PlacementCosts costs, List<ReplicaView> replicas, int unsampledReplicas) {
		this(pool, promptTokens, answerTokens, waitedMs, instances, seed, costs, replicas, unsampledReplicas, null);
	}

}
