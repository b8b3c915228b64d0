package dev.nutmegdoor.core.configuration;

/**
 * Head together with the version of its object in the store.
 *
 * @param objectVersion version for a conditional update, 0 if the store has no object
 * @param head the parsed head, {@link ConfigurationHead#EMPTY} if there is no object
 */
record StoredHead(long objectVersion, ConfigurationHead head) {

}
