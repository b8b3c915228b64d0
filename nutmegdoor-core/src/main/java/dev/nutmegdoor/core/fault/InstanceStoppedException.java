package dev.nutmegdoor.core.fault;

/**
 * Thrown to abort the current callback of a simulated instance that crashes at a protocol
 * step.
 */
public class InstanceStoppedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public InstanceStoppedException(Step step) {
		super("instance stopped at " + step);
	}

}
