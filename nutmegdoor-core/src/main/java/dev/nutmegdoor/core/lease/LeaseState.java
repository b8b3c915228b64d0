package dev.nutmegdoor.core.lease;

/**
 * States of an instance's lease.
 */
public enum LeaseState {

	/** Not acquired yet. */
	NONE,

	/** The instance may act on what it owns. */
	VALID,

	/** The instance must not act; it may become valid again with the same epoch. */
	EXPIRED,

	/** What the instance owned was reassigned; it owns nothing any more. */
	FENCED

}
