package dev.nutmegdoor.standin.platform;

/**
 * Refusal of a call with an HTTP status.
 */
final class ApiException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	ApiException(int status, String message) {
		super(message);
		this.status = status;
	}

	int status() {
		return this.status;
	}

}
