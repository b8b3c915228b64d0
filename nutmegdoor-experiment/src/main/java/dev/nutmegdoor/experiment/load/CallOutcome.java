package dev.nutmegdoor.experiment.load;

/**
 * What a caller observed of one request.
 *
 * @param status HTTP status, 0 if the connection failed before an answer
 * @param problem stable name of the problem, empty if there was none
 * @param run what the problem says about the effect, empty if there was none
 * @param retryAfterMs advised wait, 0 if none
 * @param text whole answer: generated text, or the JSON body
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens of the prompt that were cached
 * @param generatedTokens tokens generated
 * @param isComplete whether the answer arrived whole
 */
public record CallOutcome(int status, String problem, String run, long retryAfterMs, String text, int promptTokens,
		int cachedTokens, int generatedTokens, boolean isComplete) {

	static CallOutcome failed() {
		return new CallOutcome(0, "connection-failed", "unknown", 0, "", 0, 0, 0, false);
	}

	boolean isSuccess() {
		return this.status / 100 == 2 && this.isComplete && this.problem.isEmpty();
	}

	boolean isRateLimited() {
		return this.problem.equals("rate-limited");
	}

	boolean isConnectionFailure() {
		return this.problem.equals("connection-failed");
	}

	boolean isNotRun() {
		return this.run.equals("not_run");
	}

}
