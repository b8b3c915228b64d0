package dev.nutmegdoor.node.relay;

import org.jspecify.annotations.Nullable;

/**
 * Machines of a simulated deployment.
 *
 * @param zones number of availability zones
 * @param instances number of gateways
 * @param engineReplicas number of engines
 * @param engineSlots requests that an engine runs concurrently
 * @param serviceReplicas number of replicas of the plain service
 * @param cacheTokens tokens that fit into the prefix cache of an engine
 * @param crossingMs one-way latency between zones in milliseconds
 * @param clientMs one-way latency between client and gateway in milliseconds
 * @param engineTimes durations of an engine's work
 * @param unevenSpeeds speeds of the machines, or {@code null} if all are as usual
 * @param statesWorkTime whether replicas state how long work takes
 */
record SimulatedDeployment(int zones, int instances, int engineReplicas, int engineSlots, int serviceReplicas,
		int cacheTokens, double crossingMs, double clientMs, ModelledEngine.Times engineTimes,
		@Nullable UnevenSpeeds unevenSpeeds, boolean statesWorkTime) {

	SimulatedDeployment withoutStatedWorkTime() {
		return new SimulatedDeployment(this.zones, this.instances, this.engineReplicas, this.engineSlots,
				this.serviceReplicas, this.cacheTokens, this.crossingMs, this.clientMs, this.engineTimes,
				this.unevenSpeeds, false);
	}

}
