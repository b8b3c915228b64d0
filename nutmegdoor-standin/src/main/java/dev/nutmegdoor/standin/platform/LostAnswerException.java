package dev.nutmegdoor.standin.platform;

/**
 * Ends a call whose change took effect without an answer.
 */
final class LostAnswerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	LostAnswerException() {
		super("answer lost");
	}

}
