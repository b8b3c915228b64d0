package dev.nutmegdoor.core.program;

/**
 * Thrown when this instance no longer owns the partition of a program.
 */
public class HomeLostException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public HomeLostException(String message) {
		super(message);
	}

}
