package dev.nutmegdoor.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when a request is rejected with an HTTP status.
 */
final class ApiException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final transient @Nullable ObjectNode body;

	ApiException(int status, String message) {
		this(status, message, null);
	}

	ApiException(int status, String message, @Nullable ObjectNode body) {
		super(message);
		this.status = status;
		this.body = body;
	}

	/**
	 * Returns the body of the response.
	 * @return a JSON body, or {@code null} if the response has only the exception message
	 */
	@Nullable ObjectNode body() {
		return this.body;
	}

	int status() {
		return this.status;
	}

}
