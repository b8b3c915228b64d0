package dev.nutmegdoor.cli;

/**
 * Exit codes of all commands.
 */
public enum ExitCode {

	/** The command did what it was asked. */
	OK(0),

	/** The command ran and found a violation, or the operation failed. */
	FAILURE(1),

	/** The command line, the settings or an input file is wrong; nothing was done. */
	USAGE(2),

	/** An endpoint could not be reached. */
	UNREACHABLE(3);

	private final int value;

	ExitCode(int value) {
		this.value = value;
	}

	public int value() {
		return this.value;
	}

}
