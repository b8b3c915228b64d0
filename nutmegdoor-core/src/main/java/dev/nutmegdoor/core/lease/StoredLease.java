package dev.nutmegdoor.core.lease;

/**
 * Lease record together with the version of its store object.
 *
 * @param record content of the store object
 * @param version version of the store object, for conditional updates
 */
record StoredLease(LeaseRecord record, long version) {

}
