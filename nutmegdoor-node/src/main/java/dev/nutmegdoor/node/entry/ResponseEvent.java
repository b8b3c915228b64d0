package dev.nutmegdoor.node.entry;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;

/**
 * What happens to a call, in the order in which its caller learns of it.
 */
sealed interface ResponseEvent {

	/**
	 * A piece of generated text.
	 *
	 * @param offset characters before this piece
	 * @param text the piece
	 */
	record TextChunk(int offset, String text) implements ResponseEvent {

	}

	/**
	 * The whole answer is there; the last event.
	 *
	 * @param result the answer
	 */
	record Completed(CallResult result) implements ResponseEvent {

	}

	/**
	 * There will be no answer, or no more of it; the last event.
	 *
	 * @param refusal the refusal
	 */
	record Refused(Refusal refusal) implements ResponseEvent {

	}

}
