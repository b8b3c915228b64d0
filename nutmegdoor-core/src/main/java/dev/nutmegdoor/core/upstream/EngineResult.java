package dev.nutmegdoor.core.upstream;

/**
 * End of a stream of a model engine.
 *
 * @param text whole generated text
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens of the prompt that were cached
 * @param generatedTokens tokens generated
 */
public record EngineResult(String text, int promptTokens, int cachedTokens, int generatedTokens) {

}
