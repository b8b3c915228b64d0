package dev.nutmegdoor.core.call;

/**
 * Receives the progress of one send of a relayed request. Called on the control thread;
 * nothing is called after {@link #ended}.
 */
public interface RelayListener {

	/**
	 * Called when the first piece of the answer has been passed to the caller.
	 */
	void answerStarted();

	/**
	 * Called when the send is over.
	 * @param end how it ended
	 */
	void ended(RelayEnd end);

}
