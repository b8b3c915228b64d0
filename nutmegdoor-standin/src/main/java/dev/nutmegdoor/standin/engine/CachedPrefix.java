package dev.nutmegdoor.standin.engine;

import java.util.List;

/**
 * Cached prefix of a program that can be copied between engines.
 *
 * @param owner text form of the program
 * @param model model that computed the prefix
 * @param prefixHashes hashes of the prefixes of the prompt, from short to long
 * @param tokens tokens held, generated ones included
 */
public record CachedPrefix(String owner, String model, List<Long> prefixHashes, int tokens) {

	public CachedPrefix {
		prefixHashes = List.copyOf(prefixHashes);
	}

}
