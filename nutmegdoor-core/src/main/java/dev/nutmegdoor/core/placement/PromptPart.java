package dev.nutmegdoor.core.placement;

/**
 * A part of a prompt that a replica can keep in its prefix cache. A replica can reuse a
 * part only if it also holds all preceding ones.
 *
 * @param id identifies the content of the part; empty if it cannot be cached
 * @param tokens number of tokens of the part
 */
public record PromptPart(String id, int tokens) {

	/**
	 * Returns the total number of tokens of a prompt.
	 * @param prompt parts of the prompt
	 * @return sum over all parts
	 */
	public static int tokensOf(Iterable<PromptPart> prompt) {
		int sum = 0;
		for (PromptPart part : prompt) {
			sum += part.tokens();
		}
		return sum;
	}

}
