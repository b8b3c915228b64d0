package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * A caller's key as it is stored.
 *
 * @param id identifier, the public part of the key
 * @param workspace workspace that the key belongs to
 * @param secretHash SHA-256 of the whole key in lower-case hexadecimal
 */
public record CallerKey(KeyId id, WorkspaceId workspace, String secretHash) {

}
