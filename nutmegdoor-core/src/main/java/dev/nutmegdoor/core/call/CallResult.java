package dev.nutmegdoor.core.call;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Complete response of an upstream to a call.
 *
 * @param upstream replica that ran the call
 * @param status HTTP status of a service, 200 for a model
 * @param body JSON body of a service, generated text of a model
 * @param promptTokens number of tokens of the prompt; 0 for a service
 * @param cachedTokens number of prompt tokens that the engine had cached
 * @param generatedTokens number of generated tokens
 */
public record CallResult(UpstreamId upstream, int status, String body, int promptTokens, int cachedTokens,
		int generatedTokens) {

}
