package dev.nutmegdoor.core.route;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * Metadata that a client sends in the header of a request.
 *
 * @param attemptId identifier of this attempt, or {@code null} if the client sent none
 * @param deadlineMs time in milliseconds that the client waits for a response, or
 * {@code null} if it sent none
 * @param programId identifier of the program, or {@code null} for a request outside of
 * programs
 * @param finishMs remaining time in milliseconds until the program should be finished, or
 * {@code null} if the client sent none
 * @param tokenBudget maximum number of tokens that all turns of the program may generate
 * together, or {@code null} if the request is not a turn of a program
 * @param maxAnswerTokens maximum number of tokens that this turn generates; 0 for a plain
 * request
 * @param expectedAnswerTokens client's estimate of the number of generated tokens; 0 if
 * it sent none. Accurate at the median, but often far off for a single request
 * @param resumeAfterEvent number of the last event that the client received; 0 for a new
 * stream
 * @param resumedAttemptId identifier of the attempt that brought the first event of the
 * stream that the client takes up, or {@code null} if it names none
 * @param prompt parts of the prompt in order; empty for a plain request
 * @param previousTurn identifier of the attempt that brought the turn that this one
 * continues, as the client sent it, or {@code null} if it named none
 */
public record RequestMetadata(@Nullable String attemptId, @Nullable Long deadlineMs, @Nullable String programId,
		@Nullable Long finishMs, @Nullable Long tokenBudget, int maxAnswerTokens, int expectedAnswerTokens,
		long resumeAfterEvent, @Nullable String resumedAttemptId, List<PromptPart> prompt,
		@Nullable String previousTurn) {

	public RequestMetadata {
		prompt = List.copyOf(prompt);
	}

}
