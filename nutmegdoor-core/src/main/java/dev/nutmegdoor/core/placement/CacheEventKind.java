package dev.nutmegdoor.core.placement;

/**
 * Kinds of changes of an engine's prefix cache.
 */
public enum CacheEventKind {

	/** The engine holds a prefix of the given length. */
	STORED,

	/** The engine no longer holds the prefix. */
	EVICTED

}
