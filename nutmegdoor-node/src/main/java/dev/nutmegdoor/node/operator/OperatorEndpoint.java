package dev.nutmegdoor.node.operator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * One operation of the operator API.
 *
 * @param method HTTP method
 * @param path path, with variable parts in braces
 * @param role role that the operation asks for
 * @param handler runs on the control thread; its result is written as JSON, a
 * {@link String} as text
 */
public record OperatorEndpoint(String method, String path, OperatorRole role,
		Function<OperatorRequest, CompletableFuture<?>> handler) {

	/**
	 * Creates an operation that reads.
	 * @param path path, with variable parts in braces
	 * @param handler the handler
	 * @return the endpoint
	 */
	public static OperatorEndpoint get(String path, Function<OperatorRequest, CompletableFuture<?>> handler) {
		return new OperatorEndpoint("GET", path, OperatorRole.READ, handler);
	}

	/**
	 * Creates an operation that changes.
	 * @param path path, with variable parts in braces
	 * @param handler the handler
	 * @return the endpoint
	 */
	public static OperatorEndpoint post(String path, Function<OperatorRequest, CompletableFuture<?>> handler) {
		return new OperatorEndpoint("POST", path, OperatorRole.CHANGE, handler);
	}

}
