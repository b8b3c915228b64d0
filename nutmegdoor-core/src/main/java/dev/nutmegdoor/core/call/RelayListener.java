package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

/**
 * Receives the progress of one send of a relayed request. Called on the control thread;
 * nothing is called after {@link #ended}.
 */
public interface RelayListener {

	/**
	 * Called before {@link #answerStarted} and {@link #ended} if the replica declares in
	 * its response how many requests it accepts.
	 * @param requestsPerSecond requests per second that it accepts from all instances
	 * together, above 0
	 */
	void rateDeclared(double requestsPerSecond);

	/**
	 * Called before {@link #answerStarted} and {@link #ended} if the replica states in
	 * its response whether it is cold.
	 * @param coldMs time in milliseconds for which it remains cold, 0 if it is warm
	 */
	default void coldStated(long coldMs) {
	}

	/**
	 * Called when forwarding of the response to the caller has started.
	 * @param load load that the replica reported in the response header, or {@code null}
	 * if it reported none
	 */
	void answerStarted(RelayEnd.@Nullable ReportedLoad load);

	/**
	 * Called when the send is over.
	 * @param end outcome of the send and load of the replica
	 */
	void ended(RelayEnd end);

}
