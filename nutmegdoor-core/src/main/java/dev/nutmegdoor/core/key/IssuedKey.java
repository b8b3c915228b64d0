package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.configuration.ConfigurationChangeResult;
import dev.nutmegdoor.core.id.KeyId;

/**
 * Answer to the issue of a key.
 *
 * @param id identifier of the key
 * @param key the whole key, which is shown only this once; {@code null} if the change was
 * not accepted
 * @param change outcome of the change of the configuration
 */
public record IssuedKey(KeyId id, @Nullable String key, ConfigurationChangeResult change) {

	/**
	 * Leaves out the key, so that it can't reach a log.
	 */
	@Override
	public String toString() {
		return "IssuedKey[id=" + this.id + ", change=" + this.change + "]";
	}

}
