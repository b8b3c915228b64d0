package dev.nutmegdoor.core.configuration;

/**
 * A head with the version of its object in the store.
 *
 * @param objectVersion version for a conditional update, 0 if there is no object
 * @param head the head
 */
record StoredHead(long objectVersion, ConfigurationHead head) {

}
