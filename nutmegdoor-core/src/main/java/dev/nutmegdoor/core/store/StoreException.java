package dev.nutmegdoor.core.store;

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

}
