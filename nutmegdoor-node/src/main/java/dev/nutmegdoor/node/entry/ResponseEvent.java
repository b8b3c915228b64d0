package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;

/**
 * Event of a call, emitted in the order in which it is sent to the client.
 */
sealed interface ResponseEvent {

	/**
	 * A chunk of generated text.
	 *
	 * @param offset number of characters generated before this chunk
	 * @param text characters of this chunk
	 */
	record TextChunk(int offset, String text) implements ResponseEvent {

	}

	/**
	 * The call has completed; always the last event.
	 *
	 * @param result result of the call, with the complete text
	 */
	record Completed(CallResult result) implements ResponseEvent {

	}

	/**
	 * The call was refused or ended early; always the last event. Text may have been
	 * emitted before.
	 *
	 * @param refusal reason, and whether the call ran
	 */
	record Refused(Refusal refusal) implements ResponseEvent {

	}

}
