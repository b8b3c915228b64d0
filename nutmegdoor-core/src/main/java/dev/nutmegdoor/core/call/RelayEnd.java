package dev.nutmegdoor.core.call;

import org.jspecify.annotations.Nullable;

/**
 * How one send of a relayed request ended.
 *
 * @param outcome what became of the send
 * @param status HTTP status of the replica's answer, 0 if there was none
 * @param generatedTokens tokens handed to the caller
 * @param load load that the replica reported with its answer, or {@code null}; what was
 * reported with an answer that had begun is told at its beginning
 * @param detail description for logs and refusals
 */
public record RelayEnd(RelayOutcome outcome, int status, int generatedTokens, @Nullable ReportedLoad load,
		String detail) {

	/**
	 * Load of a replica at the time of its answer.
	 *
	 * @param runningCalls requests that it runs
	 * @param waitingCalls requests that wait in its queue
	 * @param maxConcurrentCalls requests that it can run at a time
	 */
	public record ReportedLoad(int runningCalls, int waitingCalls, int maxConcurrentCalls) {

	}

}
