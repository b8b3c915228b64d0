package dev.nutmegdoor.core.route;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * @param name name of the route
 * @param host host name that requests must have, in lower case
 * @param prefix path prefix that requests must have; begins and ends with a slash
 * @param kind whether requests may be repeated, interrupted or streamed
 * @param shares services between which the requests are divided; at least one
 * @param maxReplicas maximum number of replicas to which one request is sent
 * @param timeoutMs maximum duration of a request in milliseconds
 * @param priority priority; 0 is the most urgent
 * @param isPublic whether requests need no API key
 * @param retentionMs time in milliseconds for which the token budget of a program is
 * kept, and on retained routes the turns with their chains
 * @param isRetained whether the turns of the route are kept, so that a request carries
 * only its new input and names the turn that it continues
 */
public record ServiceRoute(String name, String host, String prefix, RouteKind kind, List<ServiceShare> shares,
		int maxReplicas, long timeoutMs, int priority, boolean isPublic, long retentionMs, boolean isRetained) {

	public ServiceRoute {
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " must send its requests to at least one service");
		}
		shares = List.copyOf(shares);
	}

	/**
	 * Selects the service of a request in proportion to the weights.
	 * @param draw uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the selected service
	 */
	public String selectService(double draw) {
		int totalWeight = 0;
		for (ServiceShare share : this.shares) {
			totalWeight += Math.max(0, share.weight());
		}
		double remainingWeight = draw * totalWeight;
		for (ServiceShare share : this.shares) {
			remainingWeight -= Math.max(0, share.weight());
			if (remainingWeight < 0) {
				return share.service();
			}
		}
		return this.shares.get(this.shares.size() - 1).service();
	}

}
