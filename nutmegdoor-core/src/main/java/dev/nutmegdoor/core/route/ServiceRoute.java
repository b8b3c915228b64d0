package dev.nutmegdoor.core.route;

import java.util.List;

/**
 * A route of the operators' configuration.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param prefix beginning of their paths; begins and ends with a slash
 * @param kind what may be done with the requests
 * @param shares services that the requests are divided among
 * @param maxReplicas replicas to which one request may be sent
 * @param timeoutMs longest time that a request may take in milliseconds
 * @param priority rank, 0 is the most urgent
 * @param isPublic whether requests need no key
 * @param retentionMs time for which the budget of a program is remembered in milliseconds
 */
public record ServiceRoute(String name, String host, String prefix, RouteKind kind, List<ServiceShare> shares,
		int maxReplicas, long timeoutMs, int priority, boolean isPublic, long retentionMs) {

	public ServiceRoute {
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " must lead to at least one service");
		}
		shares = List.copyOf(shares);
	}

	/**
	 * Chooses the service of a request.
	 * @param draw number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service
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
