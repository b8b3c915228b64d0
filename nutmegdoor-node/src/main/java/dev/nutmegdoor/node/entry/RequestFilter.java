package dev.nutmegdoor.node.entry;

import reactor.core.publisher.Mono;

/**
 * A step that each request passes before it runs.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Checks a request.
	 * @param exchange the request
	 * @return completes if the request may continue, fails with {@link RefusalException}
	 * if it may not
	 */
	Mono<Void> filter(Exchange exchange);

}
