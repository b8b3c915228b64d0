package dev.nutmegdoor.core.limit;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Admits requests within the rates of their workspaces.
 */
public interface RateLimiter {

	/**
	 * Decides on the admission of one request.
	 * @param workspace workspace of the request
	 * @return completes with the decision, possibly after a wait for a token; never fails
	 */
	CompletableFuture<Admission> admit(WorkspaceId workspace);

	/**
	 * Decides on the admission of one request whose position in its program is known. The
	 * default implementation ignores the stage.
	 * @param workspace workspace of the request
	 * @param stage whether the request begins or continues a program
	 * @return completes with the decision, possibly after a wait for a token; never fails
	 */
	default CompletableFuture<Admission> admit(WorkspaceId workspace, RequestStage stage) {
		return admit(workspace);
	}

}
