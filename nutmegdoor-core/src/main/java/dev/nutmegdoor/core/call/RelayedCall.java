package dev.nutmegdoor.core.call;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * A request that is passed on to a replica unchanged, and whose answer is passed back
 * unchanged. The scheduler decides when and where; the relay moves the bytes.
 *
 * @param service service whose replicas can run the request
 * @param repeatability whether the request may run more than once
 * @param isInterruptible whether a replica may be told to stop when the caller has gone
 * @param maxReplicas replicas to which the request may be sent
 * @param prompt parts of the prompt in their order; none for a plain request
 * @param maxAnswerTokens most tokens that the answer has; 0 for a plain request
 * @param expectedAnswerTokens tokens that the answer probably has
 * @param isOpening whether the request begins a program
 * @param account name under which the work of a whole program is counted, or {@code null}
 * @param finishMs time left until the whole program should be finished in milliseconds,
 * or {@code null} if the request belongs to no program
 * @param priority rank of the request, 0 is the most urgent
 * @param minServiceMs time that a replica needs for the request at least in milliseconds
 * @param relay sends the request
 */
public record RelayedCall(String service, Repeatability repeatability, boolean isInterruptible, int maxReplicas,
		List<PromptPart> prompt, int maxAnswerTokens, int expectedAnswerTokens, boolean isOpening,
		@Nullable String account, @Nullable Long finishMs, int priority, double minServiceMs,
		@JsonIgnore Relay relay) implements CallPayload {

	public RelayedCall {
		prompt = List.copyOf(prompt);
	}

}
