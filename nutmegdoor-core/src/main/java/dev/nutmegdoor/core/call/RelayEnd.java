package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

/**
 * Describes how one send of a relayed request ended.
 *
 * @param outcome result of the send
 * @param status HTTP status of the replica's response, 0 if there was none
 * @param generatedTokens number of tokens forwarded to the caller
 * @param load load that the replica reported with its response, or {@code null} if it
 * reported none or if {@link RelayListener#answerStarted} has already received it
 * @param detail description for logs and refusals
 */
public record RelayEnd(RelayOutcome outcome, int status, int generatedTokens, @Nullable ReportedLoad load,
		String detail) {

	/**
	 * Load of a replica at the time of its response.
	 *
	 * @param runningCalls number of requests that it runs
	 * @param waitingCalls number of requests in its queue
	 * @param maxConcurrentCalls number of requests that it can run at the same time
	 * @param workPercent how long work takes there at this moment, in per cent of the
	 * usual time; {@code null} if it has not stated that
	 */
	public record ReportedLoad(int runningCalls, int waitingCalls, int maxConcurrentCalls,
			@Nullable Integer workPercent) {

		/**
		 * Creates the load of a replica that does not state how long work takes.
		 * @param runningCalls number of requests that it runs
		 * @param waitingCalls number of requests in its queue
		 * @param maxConcurrentCalls number of requests that it can run at the same time
		 */
		public ReportedLoad(int runningCalls, int waitingCalls, int maxConcurrentCalls) {
			this(runningCalls, waitingCalls, maxConcurrentCalls, null);
		}

	}

}
