package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

/**
 * Checks each request before it is routed.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Checks a request.
	 * @param exchange request to check
	 * @return completes if the request may continue; fails with {@link RefusalException}
	 * if it is refused
	 */
	Mono<Void> filter(Exchange exchange);

}
