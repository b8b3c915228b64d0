package dev.nutmegdoor.cli.operator;

import org.apache.commons.cli.CommandLine;

/**
 * A call of the operator API, built from a command line.
 *
 * @param isChange whether the call changes something
 * @param path path and query
 * @param body body, empty for none
 */
record OperatorCall(boolean isChange, String path, String body) {

	static OperatorCall read(String path) {
		return new OperatorCall(false, "/operator/v1/" + path, "");
	}

	static OperatorCall change(String path) {
		return change(path, "");
	}

	static OperatorCall change(String path, String body) {
		return new OperatorCall(true, "/operator/v1/" + path, body);
	}

	/**
	 * Builds the call of a command.
	 */
	@FunctionalInterface
	interface Builder {

		/**
		 * Builds the call.
		 * @param line parsed options and arguments
		 * @return the call
		 * @throws dev.nutmegdoor.cli.UsageException if an option or argument is wrong
		 */
		OperatorCall build(CommandLine line);

	}

}
