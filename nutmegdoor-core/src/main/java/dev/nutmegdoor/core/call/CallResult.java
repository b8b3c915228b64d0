package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Whole answer of an upstream to a call.
 *
 * @param upstream replica that ran the call
 * @param status HTTP status of a service, 200 for a model
 * @param body JSON body of a service, generated text of a model
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens of the prompt that the engine had cached
 * @param generatedTokens tokens generated
 */
public record CallResult(UpstreamId upstream, int status, String body, int promptTokens, int cachedTokens,
		int generatedTokens) {

}
