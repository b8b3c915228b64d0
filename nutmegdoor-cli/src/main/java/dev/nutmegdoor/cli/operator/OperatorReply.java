package dev.nutmegdoor.cli.operator;

/**
 * Answer of the operator API.
 *
 * @param status HTTP status
 * @param text body
 */
record OperatorReply(int status, String text) {

	boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
