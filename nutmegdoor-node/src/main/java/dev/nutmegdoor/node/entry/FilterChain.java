package dev.nutmegdoor.node.entry;

import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;

/**
 * Leads a request through the filters, in order, to its route.
 */
public final class FilterChain {

	private final List<RequestFilter> filters;

	private final List<Route> routes;

	/**
	 * Creates a chain.
	 * @param filters filters in their order
	 * @param routes routes, of which the first that fits answers a request
	 */
	public FilterChain(List<RequestFilter> filters, List<Route> routes) {
		this.filters = List.copyOf(filters);
		this.routes = List.copyOf(routes);
	}

	/**
	 * Runs a request.
	 * @param exchange the request
	 * @return completes after the answer, fails with {@link RefusalException}
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
