package dev.nutmegdoor.core.program;

/**
 * Types of entries in the log of a program.
 */
public enum EntryType {

	/** The program was opened. */
	OPENED,

	/** Budget is reserved for a turn that is about to be dispatched. */
	TURN_RESERVED,

	/**
	 * An engine is about to receive a request of the program and may cache its prefix.
	 */
	TURN_PLACED,

	/** The turn has its complete response. */
	TURN_COMPLETED,

	/** An at-most-once operation is about to be sent. */
	CALL_INTENDED,

	/** The outcome of an at-most-once operation, possibly unknown. */
	CALL_SETTLED,

	/** The program accepts no more calls. */
	CLOSED,

	/** All upstreams have released the data that they cached for the program. */
	RELEASED

}
