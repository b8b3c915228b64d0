package dev.nutmegdoor.core.route;

import java.util.List;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * What the header of a client's request says.
 *
 * @param attemptId identifies this attempt of the client, or {@code null}
 * @param deadlineMs time that the client waits in milliseconds, or {@code null}
 * @param programId identifies the program, or {@code null} outside of programs
 * @param finishMs time left until the program should be finished in milliseconds, or
 * {@code null}
 * @param tokenBudget tokens that all turns of the program together may generate, or
 * {@code null} if the request is no turn
 * @param maxAnswerTokens most tokens that this turn generates, 0 for a plain request
 * @param expectedAnswerTokens the client's estimate of these tokens, 0 if it has none;
 * right at the median and often far off
 * @param resumeAfterEvent number of the last event that the client has, 0 for a new
 * stream
 * @param prompt parts of the prompt in their order
 */
public record RequestMetadata(@Nullable String attemptId, @Nullable Long deadlineMs, @Nullable String programId,
		@Nullable Long finishMs, @Nullable Long tokenBudget, int maxAnswerTokens, int expectedAnswerTokens,
		long resumeAfterEvent, List<PromptPart> prompt) {

	public RequestMetadata {
		prompt = List.copyOf(prompt);
	}

}
