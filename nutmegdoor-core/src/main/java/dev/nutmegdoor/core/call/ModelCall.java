package dev.nutmegdoor.core.call;

/**
 * Requests a model engine to generate text.
 *
 * @param model name of the model
 * @param messagesJson messages of this turn as a JSON array; the home prepends the
 * program's history
 * @param promptTokens estimated number of tokens of {@code messagesJson}
 * @param maxTokens maximum number of tokens to generate
 */
public record ModelCall(String model, String messagesJson, int promptTokens, int maxTokens) implements CallPayload {

}
