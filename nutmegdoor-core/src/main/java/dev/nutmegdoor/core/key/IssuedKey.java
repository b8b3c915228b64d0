package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;
import dev.nutmegdoor.core.id.KeyId;

/**
 * Result of issuing a key.
 *
 * @param id identifier of the key
 * @param key the complete key, which cannot be read again later; {@code null} if the
 * change of the configuration was not accepted
 * @param change result of the change of the configuration
 */
public record IssuedKey(KeyId id, @Nullable String key, ConfigurationChangeResult change) {

	/**
	 * Omits the key, so that it does not appear in logs.
	 */
	@Override
	public String toString() {
		return "IssuedKey[id=" + this.id + ", change=" + this.change + "]";
	}

}
