package dev.nutmegdoor.standin.platform;

/**
 * Thrown to close the connection without a response after a change took effect.
 */
final class LostAnswerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	LostAnswerException() {
		super("answer lost");
	}

}
