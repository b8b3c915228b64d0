package dev.nutmegdoor.core.configuration;

/**
 * Kinds of upstreams.
 */
public enum UpstreamKind {

	/** Serves models: batches continuously and caches prompt prefixes. */
	MODEL_ENGINE,

	/** Serves operations of a plain service. */
	SERVICE

}
