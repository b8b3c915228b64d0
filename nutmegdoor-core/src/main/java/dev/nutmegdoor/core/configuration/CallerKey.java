package dev.nutmegdoor.core.configuration;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Stored form of a caller's key.
 *
 * @param id identifier, which is the public part of the key
 * @param workspace workspace that the key belongs to
 * @param secretHash SHA-256 of the complete key in lower-case hexadecimal
 */
public record CallerKey(KeyId id, WorkspaceId workspace, String secretHash) {

}
