package dev.nutmegdoor.core.upstream;

import dev.nutmegdoor.core.call.RunState;

/**
 * Failure of a call to an upstream.
 */
public class UpstreamException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final RunState run;

	/**
	 * Creates the failure.
	 * @param run {@link RunState#NOT_RUN} only if nothing of the request was written
	 * @param message what was done and with what
	 */
	public UpstreamException(RunState run, String message) {
		super(message);
		this.run = run;
	}

	public RunState run() {
		return this.run;
	}

}
