package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

/**
 * Runs the requests that match it, after the filters have accepted them.
 */
public interface Route {

	/**
	 * Returns whether the route handles a request.
	 * @param method HTTP method in upper case
	 * @param path path without the query
	 * @return {@code true} if the route handles the request
	 */
	boolean matches(String method, String path);

	/**
	 * Runs a request and writes its response.
	 * @param exchange request that matches this route
	 * @return completes after the response; fails with {@link RefusalException} if the
	 * request is refused
	 */
	Mono<Void> run(Exchange exchange);

}
