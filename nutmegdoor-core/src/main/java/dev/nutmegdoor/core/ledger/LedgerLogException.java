package dev.nutmegdoor.core.ledger;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when the log of a ledger replica cannot be written or read.
 */
public class LedgerLogException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public LedgerLogException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
