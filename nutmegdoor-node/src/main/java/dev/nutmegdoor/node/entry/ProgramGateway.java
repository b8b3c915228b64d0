package dev.nutmegdoor.node.entry;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Opens and closes programs. Called on the control thread; the returned futures complete
 * there and fail with {@link RefusalException} if the operation is refused.
 */
public interface ProgramGateway {

	/**
	 * Opens a program.
	 * @param decision identifier under which the request can be explained
	 * @param workspace workspace of the program
	 * @param parent program of which the new one is a sub-agent, or {@code null}
	 * @param budget requested budget, or {@code null} for the budget of the workspace
	 * @return identifier of the new program
	 */
	CompletableFuture<ProgramId> open(DecisionId decision, WorkspaceId workspace, @Nullable ProgramId parent,
			@Nullable ProgramBudget budget);

	/**
	 * Closes a program and its sub-agents. Repeated calls have no further effect.
	 * @param decision identifier under which the request can be explained
	 * @param workspace workspace of the client, which must own the program
	 * @param program program to close
	 * @return completes when the closure of the program is recorded
	 */
	CompletableFuture<Void> close(DecisionId decision, WorkspaceId workspace, ProgramId program);

}
