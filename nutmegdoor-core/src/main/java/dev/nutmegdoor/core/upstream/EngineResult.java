package dev.nutmegdoor.core.upstream;

/**
 * Result of a completed stream of a model engine.
 *
 * @param text entire generated text
 * @param promptTokens number of tokens of the prompt
 * @param cachedTokens number of tokens of the prompt that were cached
 * @param generatedTokens number of generated tokens
 */
public record EngineResult(String text, int promptTokens, int cachedTokens, int generatedTokens) {

}
