package dev.nutmegdoor.core.lease;

/**
 * States of an instance's lease as seen by the holder.
 */
public enum LeaseState {

	/** Not acquired yet. */
	NONE,

	/** The instance may act on what it owns. */
	VALID,

	/** The instance must not act; the lease may become valid again in the same epoch. */
	EXPIRED,

	/** The lease has ended for good; the instance no longer owns anything. */
	FENCED

}
