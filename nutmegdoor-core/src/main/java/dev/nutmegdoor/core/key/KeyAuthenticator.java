package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Authenticates callers by their keys. Implementations are thread-safe.
 */
public interface KeyAuthenticator {

	/**
	 * Authenticates a presented key.
	 * @param presentedKey the complete key as received with the request
	 * @return the workspace of the key, or the reason of the rejection
	 */
	Authentication authenticate(String presentedKey);

	/**
	 * Returns whether a key that was authenticated earlier is still valid.
	 * @param key identifier of the key
	 * @return {@code false} once the key is withdrawn or removed from the configuration
	 */
	boolean isActive(KeyId key);

}
