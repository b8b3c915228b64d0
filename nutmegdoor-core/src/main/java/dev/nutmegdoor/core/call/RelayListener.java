package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

/**
 * Receives the progress of one send of a relayed request. Called on the control thread;
 * nothing is called after {@link #ended}.
 */
public interface RelayListener {

	/**
	 * Called when the first piece of the answer has been passed to the caller.
	 * @param load load that the replica reported with the header of the answer, or
	 * {@code null}
	 */
	void answerStarted(RelayEnd.@Nullable ReportedLoad load);

	/**
	 * Called when the send is over.
	 * @param end how it ended
	 */
	void ended(RelayEnd end);

}
