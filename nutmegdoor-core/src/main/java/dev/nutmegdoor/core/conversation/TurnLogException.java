package dev.nutmegdoor.core.conversation;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a turn cannot be written to or read from the disk.
 */
public class TurnLogException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public TurnLogException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
