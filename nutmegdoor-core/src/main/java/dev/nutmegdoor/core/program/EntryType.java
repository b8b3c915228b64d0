package dev.nutmegdoor.core.program;

/**
 * Types of entries in the log of a program.
 */
public enum EntryType {

	/** The program exists. */
	OPENED,

	/** Budget is reserved for a turn; it is about to be dispatched. */
	TURN_RESERVED,

	/**
	 * An engine is about to receive a request of the program and may cache its prefix.
	 */
	TURN_PLACED,

	/** The turn has its whole answer. */
	TURN_COMPLETED,

	/** An operation that must run at most once is about to be sent. */
	CALL_INTENDED,

	/** The outcome of that operation, or that it is unknown. */
	CALL_SETTLED,

	/** The program takes no more calls. */
	CLOSED,

	/** No upstream holds anything of the program any more. */
	RELEASED

}
