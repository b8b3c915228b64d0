package dev.nutmegdoor.core.fault;

/**
 * Ends all work of a simulated instance that crashes at a step.
 */
public class InstanceStoppedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	public InstanceStoppedException(Step step) {
		super("instance stopped at " + step);
	}

}
