package dev.nutmegdoor.node.entry;

import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;

/**
 * Applies the filters to a request, in order, and runs the first matching route.
 */
public final class FilterChain {

	private final List<RequestFilter> filters;

	private final List<Route> routes;

	/**
	 * Creates a chain.
	 * @param filters filters in the order of execution
	 * @param routes routes in descending order of precedence
	 */
	public FilterChain(List<RequestFilter> filters, List<Route> routes) {
		this.filters = List.copyOf(filters);
		this.routes = List.copyOf(routes);
	}

	/**
	 * Runs a request.
	 * @param exchange request to filter and route
	 * @return completes after the response; fails with {@link RefusalException} if a
	 * filter or the route refuses the request or no route matches
	 */
	public Mono<Void> run(Exchange exchange) {
		return Flux.fromIterable(this.filters)
			.concatMap((filter) -> filter.filter(exchange))
			.then(Mono.defer(() -> route(exchange)));
	}

	private Mono<Void> route(Exchange exchange) {
		for (Route route : this.routes) {
			if (route.matches(exchange.method(), exchange.path())) {
				return route.run(exchange);
			}
		}
		return Mono.error(
				new RefusalException(Refusal.notRun(RefusalReason.NOT_FOUND, "no route for this method and path", 0)));
	}

}
