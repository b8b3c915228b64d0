package dev.nutmegdoor.core.lease;

/**
 * A lease record with its version in the store.
 *
 * @param record the record
 * @param version version for conditional updates
 */
record StoredLease(LeaseRecord record, long version) {

}
