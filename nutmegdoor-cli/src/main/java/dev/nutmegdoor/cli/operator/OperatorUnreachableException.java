package dev.nutmegdoor.cli.operator;

/**
 * The operator API gave no answer.
 */
class OperatorUnreachableException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	OperatorUnreachableException(String message) {
		super(message);
	}

}
