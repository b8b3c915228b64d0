package dev.nutmegdoor.node.entry;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.id.DecisionId;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Opens and closes programs. Called on the control thread; futures complete there and
 * fail with {@link RefusalException}.
 */
public interface ProgramGateway {

	/**
	 * Opens a program.
	 * @param decision identifier under which the request can be explained
	 * @param workspace workspace of the program
	 * @param parent program whose sub-agent the new one is, or {@code null}
	 * @param budget budget that the caller asks for, or {@code null} for the workspace's
	 * @return identifier of the new program
	 */
	CompletableFuture<ProgramId> open(DecisionId decision, WorkspaceId workspace, @Nullable ProgramId parent,
			@Nullable ProgramBudget budget);

	/**
	 * Closes a program and its sub-agents; has no further effect when repeated.
	 * @param decision identifier under which the request can be explained
	 * @param workspace workspace of the caller
	 * @param program the program
	 * @return completes when the end of the program is recorded
	 */
	CompletableFuture<Void> close(DecisionId decision, WorkspaceId workspace, ProgramId program);

}
