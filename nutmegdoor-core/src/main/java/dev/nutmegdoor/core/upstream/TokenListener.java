package dev.nutmegdoor.core.upstream;

/**
 * Receives generated text on the control thread.
 */
@FunctionalInterface
public interface TokenListener {

	/**
	 * Called for each piece of text.
	 * @param offset characters generated before this piece
	 * @param text the piece
	 * @param tokens number of tokens in the piece
	 */
	void generated(int offset, String text, int tokens);

}
