package dev.nutmegdoor.core.key;

/**
 * Source of the secrets of keys. The daemon uses the operating system's generator; a
 * seeded one would make keys guessable.
 */
@FunctionalInterface
public interface SecretSource {

	/**
	 * Fills an array with unpredictable bytes.
	 * @param bytes the array
	 */
	void fill(byte[] bytes);

}
