package dev.nutmegdoor.core.upstream;

/**
 * Receives generated text on the control thread.
 */
@FunctionalInterface
public interface TokenListener {

	/**
	 * Called for each chunk of text, in order.
	 * @param offset number of characters generated before this chunk
	 * @param text generated text of this chunk
	 * @param tokens number of tokens in this chunk
	 */
	void generated(int offset, String text, int tokens);

}
