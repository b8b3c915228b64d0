package dev.nutmegdoor.core.key;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Authenticates callers by their keys. May be called from any thread.
 */
public interface KeyAuthenticator {

	/**
	 * Authenticates a presented key.
	 * @param presentedKey the whole key as it came with the request
	 * @return the workspace, or why there is none
	 */
	Authentication authenticate(String presentedKey);

	/**
	 * Returns whether a key that was authenticated earlier still works.
	 * @param key identifier of the key
	 * @return {@code false} once it is withdrawn
	 */
	boolean isActive(KeyId key);

}
