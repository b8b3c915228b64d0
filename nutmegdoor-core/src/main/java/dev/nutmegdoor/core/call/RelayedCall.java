package dev.nutmegdoor.core.call;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.placement.PromptPart;

/**
 * A request that is forwarded to a replica unchanged and whose response is forwarded to
 * the caller unchanged. The scheduler decides when and to which replica it is sent; the
 * relay transfers the bytes.
 *
 * @param service service whose replicas can run the request
 * @param softwareVersion software version of the only replicas that can run the request,
 * or {@code null} if all of the service can
 * @param repeatability whether the request may run more than once
 * @param isInterruptible whether the request may be aborted at the replica when the
 * caller disconnects
 * @param maxReplicas maximum number of replicas to which the request may be sent
 * @param prompt parts of the prompt in order; empty for a request that is not to an
 * engine
 * @param maxAnswerTokens maximum number of tokens of the response; 0 for a request that
 * is not to an engine
 * @param expectedAnswerTokens expected number of tokens of the response
 * @param isOpening whether the request is the first of a program
 * @param account name under which the work of a program is accounted, or {@code null} if
 * the request belongs to no program
 * @param finishMs time remaining until the entire program should be complete in
 * milliseconds, or {@code null} if the request belongs to no program
 * @param priority rank of the request, 0 is the most urgent
 * @param minServiceMs minimum time that a replica needs for the request in milliseconds
 * @param relay sends the request
 */
public record RelayedCall(String service, @Nullable String softwareVersion, Repeatability repeatability,
		boolean isInterruptible, int maxReplicas, List<PromptPart> prompt, int maxAnswerTokens,
		int expectedAnswerTokens, boolean isOpening, @Nullable String account, @Nullable Long finishMs, int priority,
		double minServiceMs, @JsonIgnore Relay relay) implements CallPayload {

	public RelayedCall {
		prompt = List.copyOf(prompt);
	}

}
