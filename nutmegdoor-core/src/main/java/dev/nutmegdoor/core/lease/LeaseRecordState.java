package dev.nutmegdoor.core.lease;

/**
 * States of a lease record in the store.
 */
public enum LeaseRecordState {

	/** The holder renews the lease. */
	HELD,

	/** The holder released the lease and never acts under it again. */
	RELEASED,

	/** Another instance fenced the lease and takes over the holdings. */
	FENCED

}
