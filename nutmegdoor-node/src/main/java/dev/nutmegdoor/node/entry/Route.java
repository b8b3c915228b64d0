package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

/**
 * Runs requests of one path after the filter chain.
 */
public interface Route {

	/**
	 * Returns whether the route answers a request.
	 * @param method HTTP method
	 * @param path path without the query
	 * @return {@code true} if it does
	 */
	boolean matches(String method, String path);

	/**
	 * Runs a request and answers it.
	 * @param exchange the request
	 * @return completes after the answer, fails with {@link RefusalException}
	 */
	Mono<Void> run(Exchange exchange);

}
