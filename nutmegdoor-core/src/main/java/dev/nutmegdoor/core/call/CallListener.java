package dev.nutmegdoor.core.call;

/**
 * Receives the progress of a call on the control thread. Exactly one of
 * {@link #completed} and {@link #refused} ends the call.
 */
public interface CallListener {

	/**
	 * Called for each chunk of generated text.
	 * @param offset number of characters delivered before this chunk
	 * @param text text of this chunk
	 */
	void generated(int offset, String text);

	/**
	 * Called when the call has completed with a result.
	 * @param result the complete result
	 */
	void completed(CallResult result);

	/**
	 * Called when the call ends without a result.
	 * @param refusal reason, and whether the call may have run
	 */
	void refused(Refusal refusal);

}
