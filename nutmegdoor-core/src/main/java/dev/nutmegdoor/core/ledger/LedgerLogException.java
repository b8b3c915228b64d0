package dev.nutmegdoor.core.ledger;

/**
 * Thrown when the log of a ledger replica cannot be written or read.
 */
public class LedgerLogException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public LedgerLogException(String message, Throwable cause) {
		super(message, cause);
	}

}
