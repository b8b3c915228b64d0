package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * A key as operators see it.
 *
 * @param id identifier
 * @param workspace workspace, or {@code null} if the configuration doesn't list the key
 * @param withdrawal the withdrawal, or {@code null} if the key works
 */
public record KeyStatus(KeyId id, @Nullable WorkspaceId workspace, @Nullable KeyWithdrawal withdrawal) {

}
