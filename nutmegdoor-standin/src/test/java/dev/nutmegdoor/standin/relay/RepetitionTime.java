package dev.nutmegdoor.standin.relay;

/**
 * When a faulty replica writes an answer once more.
 */
enum RepetitionTime {

	/** Up to 200 ms later, or when the next request has arrived. */
	ANY,

	/** In the same write as the end of the answer. */
	WITH_ANSWER,

	/** Soon after the answer, if no other request has arrived by then. */
	WHILE_IDLE,

	/** After the next request has arrived and before its answer. */
	AFTER_NEXT_REQUEST

}
