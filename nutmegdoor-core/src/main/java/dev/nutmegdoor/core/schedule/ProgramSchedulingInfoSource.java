package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Tells facts of programs whose home is this instance.
 */
@FunctionalInterface
public interface ProgramSchedulingInfoSource {

	/** Source that knows no program; each program then counts for itself. */
	ProgramSchedulingInfoSource NONE = (program) -> null;

	/**
	 * Returns the facts of a program.
	 * @param program the program
	 * @return the facts, or {@code null} if the program is unknown here
	 */
	@Nullable ProgramSchedulingInfo schedulingInfoOf(ProgramId program);

}
