package dev.nutmegdoor.core.configuration;

/**
 * Kinds of upstreams.
 */
public enum UpstreamKind {

	/** Serves models with continuous batching and a cache of prompt prefixes. */
	MODEL_ENGINE,

	/** Serves operations of a plain service. */
	SERVICE

}
