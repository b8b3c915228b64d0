package dev.nutmegdoor.core.watch;

/**
 * Role of an instance in the sharing of watches.
 */
public enum WatchRole {

	/** The deployment is small: each instance watches the store. */
	DIRECT,

	/** Watches the store and sends changes to others. */
	WATCHER,

	/** Receives the changes from others. */
	FOLLOWER,

	/** Watches the store because no watching instance is heard. */
	FALLBACK

}
