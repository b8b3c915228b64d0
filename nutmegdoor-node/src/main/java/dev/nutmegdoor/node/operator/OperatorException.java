package dev.nutmegdoor.node.operator;

/**
 * Failure of an operator's request, with the HTTP status that reports it.
 */
public class OperatorException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private final String type;

	/**
	 * Creates the failure.
	 * @param status HTTP status
	 * @param type stable name of the failure
	 * @param message explanation for the operator
	 */
	public OperatorException(int status, String type, String message) {
		super(message);
		this.status = status;
		this.type = type;
	}

	public int status() {
		return this.status;
	}

	public String type() {
		return this.type;
	}

}
