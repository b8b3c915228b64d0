package dev.nutmegdoor.core.call;

/**
 * Receives the progress of a call on the control thread. Exactly one of
 * {@link #completed} and {@link #refused} ends the call.
 */
public interface CallListener {

	/**
	 * Called for each piece of generated text.
	 * @param offset number of characters delivered before this piece
	 * @param text the piece
	 */
	void generated(int offset, String text);

	/**
	 * Called when the call has its whole answer.
	 * @param result the answer
	 */
	void completed(CallResult result);

	/**
	 * Called when the call has no answer.
	 * @param refusal the refusal
	 */
	void refused(Refusal refusal);

}
