package dev.nutmegdoor.core.invariant;

/**
 * Properties that must hold at all times.
 */
public enum Invariant {

	/** Calls of a program run in order. */
	PROGRAM_ORDER,

	/**
	 * The history of a program is never lost and never mixed with that of another
	 * program.
	 */
	HISTORY_INTEGRITY,

	/** A program never exceeds its budget. */
	BUDGET,

	/** Engine memory of programs that have ended is released. */
	ENGINE_CACHE_RELEASED,

	/** A request runs only on behalf of the workspace whose key it carries. */
	WORKSPACE_ISOLATION,

	/** No upstream receives the key of a client. */
	KEY_CONFIDENTIALITY,

	/** Reachable instances reject a withdrawn key within three seconds. */
	KEY_WITHDRAWAL,

	/**
	 * The requests admitted in any interval of length T are at most burst plus rate times
	 * T.
	 */
	RATE_LIMIT,

	/** A client receives the complete response to its own request. */
	ANSWER_MATCH,

	/** A request that is reported as "not run" has not run. */
	NOT_RUN_TRUTH,

	/** An at-most-once operation runs at most once. */
	AT_MOST_ONCE,

	/** A draining upstream receives no new work after three seconds. */
	UPSTREAM_DRAIN,

	/** A graceful shutdown interrupts no request. */
	GRACEFUL_SHUTDOWN,

	/** An accepted configuration is applied within three seconds and never reverts. */
	CONFIGURATION_MONOTONIC

}
