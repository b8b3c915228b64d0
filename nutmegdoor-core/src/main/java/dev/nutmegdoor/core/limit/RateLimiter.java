package dev.nutmegdoor.core.limit;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Admits requests within the rates of their workspaces.
 */
public interface RateLimiter {

	/**
	 * Asks for the admission of one request.
	 * @param workspace workspace of the request
	 * @return the decision; never fails
	 */
	CompletableFuture<Admission> admit(WorkspaceId workspace);

	/**
	 * Asks for the admission of one request at a known place in its caller's work.
	 * @param workspace workspace of the request
	 * @param stage place of the request
	 * @return the decision; never fails
	 */
	default CompletableFuture<Admission> admit(WorkspaceId workspace, RequestStage stage) {
		return admit(workspace);
	}

}
