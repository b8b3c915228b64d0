package dev.nutmegdoor.protocol;

/**
 * Thrown when a frame or message can't be encoded or decoded.
 */
public class ProtocolException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public ProtocolException(String message) {
		super(message);
	}

	public ProtocolException(String message, Throwable cause) {
		super(message, cause);
	}

}
