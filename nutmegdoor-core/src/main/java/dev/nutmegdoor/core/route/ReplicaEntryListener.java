package dev.nutmegdoor.core.route;

/**
 * Receives the entries of the platform's list of replicas.
 */
@FunctionalInterface
public interface ReplicaEntryListener {

	/**
	 * Called with an entry, possibly one that was received before.
	 * @param replica content of the entry
	 * @param isStarted whether the process that the entry describes was not known before
	 */
	void listed(ListedReplica replica, boolean isStarted);

}
