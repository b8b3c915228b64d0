package dev.nutmegdoor.core.store;

import java.util.concurrent.CompletionException;

/**
 * Failure of a call to the platform's object API.
 */
public class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final StoreFailure failure;

	public StoreException(StoreFailure failure, String message) {
		super(message);
		this.failure = failure;
	}

	public StoreException(StoreFailure failure, String message, Throwable cause) {
		super(message, cause);
		this.failure = failure;
	}

	public StoreFailure failure() {
		return this.failure;
	}

	/**
	 * Returns the cause of a {@link CompletionException}, which futures wrap around the
	 * failure of a store call.
	 * @param error exception with which a future completed
	 * @return the cause, or {@code error} itself if it is not wrapped
	 */
	public static Throwable causeOf(Throwable error) {
		return (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
	}

}
