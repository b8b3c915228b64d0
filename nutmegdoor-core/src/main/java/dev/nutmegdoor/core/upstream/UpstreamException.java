package dev.nutmegdoor.core.upstream;

import dev.nutmegdoor.core.call.RunState;

/**
 * Thrown when a call to an upstream fails; states whether the upstream may have run it.
 */
public class UpstreamException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final RunState run;

	/**
	 * Creates the exception.
	 * @param run effect of the call; {@link RunState#NOT_RUN} only if no byte of the
	 * request was written
	 * @param message operation that failed, with its arguments
	 */
	public UpstreamException(RunState run, String message) {
		super(message);
		this.run = run;
	}

	public RunState run() {
		return this.run;
	}

}
