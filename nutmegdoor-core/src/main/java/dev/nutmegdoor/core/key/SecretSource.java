package dev.nutmegdoor.core.key;

/**
 * Generates the secrets of keys. The daemon uses the random generator of the operating
 * system; a seeded generator would make keys predictable.
 */
@FunctionalInterface
public interface SecretSource {

	/**
	 * Fills an array with unpredictable bytes.
	 * @param bytes array to overwrite completely
	 */
	void fill(byte[] bytes);

}
