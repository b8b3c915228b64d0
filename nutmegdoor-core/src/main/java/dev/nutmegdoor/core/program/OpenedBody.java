package dev.nutmegdoor.core.program;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Body of {@link EntryType#OPENED}.
 *
 * @param workspace workspace of the program
 * @param parent parent program if this is a sub-agent, otherwise {@code null}
 * @param depth number of ancestors
 * @param budget budget of the program
 * @param wallClockMs time of opening in milliseconds since 1970
 */
record OpenedBody(WorkspaceId workspace, @Nullable ProgramId parent, int depth, ProgramBudget budget,
		long wallClockMs) {

}
