package dev.nutmegdoor.core.placement;

/**
 * A part of a prompt that a replica can keep in its prefix cache. A replica reuses a part
 * only if it also holds all parts before it.
 *
 * @param id identifies the content of the part; empty if it can't be cached
 * @param tokens number of tokens
 */
public record PromptPart(String id, int tokens) {

	/**
	 * Returns the number of tokens of a prompt.
	 * @param prompt the parts of the prompt
	 * @return sum of the tokens of all parts
	 */
	public static int tokensOf(Iterable<PromptPart> prompt) {
		int sum = 0;
		for (PromptPart part : prompt) {
			sum += part.tokens();
		}
		return sum;
	}

}
