package dev.nutmegdoor.core.limit;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Receives each admission at the moment at which its token is taken from a bucket of this
 * instance.
 */
@FunctionalInterface
public interface AdmissionListener {

	/** Listener that does nothing. */
	AdmissionListener NONE = (workspace) -> {
	};

	/**
	 * Called on the control thread after a token was taken.
	 * @param workspace workspace of the admitted request
	 */
	void admitted(WorkspaceId workspace);

}
