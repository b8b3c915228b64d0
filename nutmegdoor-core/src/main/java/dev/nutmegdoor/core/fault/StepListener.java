package dev.nutmegdoor.core.fault;

/**
 * Called when a protocol reaches a step. The daemon uses {@link #NONE}; the fault matrix
 * crashes or pauses the instance at a step.
 */
@FunctionalInterface
public interface StepListener {

	/** Listener that does nothing. */
	StepListener NONE = (step) -> {
	};

	/**
	 * Called on the control thread immediately before the effect of the step, or
	 * immediately after it for steps named {@code *_DONE}.
	 * @param step step that is reached
	 * @throws InstanceStoppedException if the instance has to stop at this step
	 */
	void reached(Step step);

}
