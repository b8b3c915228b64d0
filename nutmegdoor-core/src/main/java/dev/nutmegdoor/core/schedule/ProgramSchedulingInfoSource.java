package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Provides the scheduling properties of the programs whose home is this instance.
 */
@FunctionalInterface
public interface ProgramSchedulingInfoSource {

	/** Source without programs: each program is scheduled as its own root. */
	ProgramSchedulingInfoSource NONE = (program) -> null;

	/**
	 * Returns the scheduling properties of a program.
	 * @param program identifier of a program or a sub-agent
	 * @return the properties, or {@code null} if this instance is not the home of the
	 * program
	 */
	@Nullable ProgramSchedulingInfo schedulingInfoOf(ProgramId program);

}
