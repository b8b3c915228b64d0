package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.ProgramId;

/**
 * Tells facts of programs whose home is this instance.
 */
@FunctionalInterface
public interface ProgramFactsSource {

	/** Source that knows no program; each program then counts for itself. */
	ProgramFactsSource NONE = (program) -> null;

	/**
	 * Returns the facts of a program.
	 * @param program the program
	 * @return the facts, or {@code null} if the program is unknown here
	 */
	@Nullable ProgramFacts factsOf(ProgramId program);

}
