package dev.nutmegdoor.core.fault;

/**
 * Called when a protocol reaches a named step. In the daemon it does nothing; the fault
 * matrix stops or pauses the instance there.
 */
@FunctionalInterface
public interface StepListener {

	/** Listener that does nothing. */
	StepListener NONE = (step) -> {
	};

	/**
	 * Called on the control thread before the effect of the step, or directly after it
	 * for steps named {@code *_DONE}.
	 * @param step the step
	 * @throws InstanceStoppedException if the instance has to stop at this step
	 */
	void reached(Step step);

}
