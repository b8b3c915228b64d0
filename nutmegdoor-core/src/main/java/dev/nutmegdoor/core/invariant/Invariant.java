package dev.nutmegdoor.core.invariant;

/**
 * Properties that hold at all times.
 */
public enum Invariant {

	/** Calls of a program run in their order. */
	PROGRAM_ORDER,

	/** A program's history is never lost and never mixed with another's. */
	HISTORY_INTEGRITY,

	/** A program's budget holds. */
	BUDGET,

	/** No engine memory stays held by programs that are gone. */
	ENGINE_CACHE_RELEASED,

	/** A request runs only for the workspace whose key came with it. */
	WORKSPACE_ISOLATION,

	/** No upstream sees a caller's key. */
	KEY_CONFIDENTIALITY,

	/** A withdrawn key stops working within three seconds on reachable instances. */
	KEY_WITHDRAWAL,

	/** Admitted requests in an interval T are at most burst plus rate times T. */
	RATE_LIMIT,

	/** A caller receives the whole answer to its own request. */
	ANSWER_MATCH,

	/** A refusal that says "not run" is true. */
	NOT_RUN_TRUTH,

	/** An operation that may not be repeated runs at most once. */
	AT_MOST_ONCE,

	/** A leaving upstream gets no new work after three seconds. */
	UPSTREAM_DRAIN,

	/** A graceful shutdown cuts no request. */
	GRACEFUL_SHUTDOWN,

	/** An accepted configuration is in force within three seconds and never reverts. */
	CONFIGURATION_MONOTONIC

}
