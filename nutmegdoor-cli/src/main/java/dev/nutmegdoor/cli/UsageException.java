package dev.nutmegdoor.cli;

/**
 * Wrong command line; reported with a hint to {@code --help} and exit code 2.
 */
public class UsageException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public UsageException(String message) {
		super(message);
	}

}
