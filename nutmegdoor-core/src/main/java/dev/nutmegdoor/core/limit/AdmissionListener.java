package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Called at the moment at which a token is taken from a bucket of this instance.
 */
@FunctionalInterface
public interface AdmissionListener {

	/** Listener that does nothing. */
	AdmissionListener NONE = (workspace) -> {
	};

	/**
	 * Notes one admission.
	 * @param workspace workspace of the request
	 */
	void admitted(WorkspaceId workspace);

}
