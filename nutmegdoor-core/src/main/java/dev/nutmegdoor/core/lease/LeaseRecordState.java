package dev.nutmegdoor.core.lease;

/**
 * States of a lease record in the store.
 */
public enum LeaseRecordState {

	/** The holder renews the lease. */
	HELD,

	/** The holder gave the lease up and never acts again. */
	RELEASED,

	/** Another instance ended the lease. */
	FENCED

}
