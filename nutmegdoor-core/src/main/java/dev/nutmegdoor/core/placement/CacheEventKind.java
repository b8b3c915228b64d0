package dev.nutmegdoor.core.placement;

/**
 * Kinds of changes to the prefix cache of an engine.
 */
public enum CacheEventKind {

	/** The engine holds a prefix of the number of tokens given in the event. */
	STORED,

	/** The engine no longer holds the prefix. */
	EVICTED

}
