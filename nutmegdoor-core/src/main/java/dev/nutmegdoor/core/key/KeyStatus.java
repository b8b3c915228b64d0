package dev.nutmegdoor.core.key;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Status of a key as shown to operators.
 *
 * @param id identifier of the key
 * @param workspace workspace of the key, or {@code null} if the configuration does not
 * contain the key
 * @param withdrawal the withdrawal, or {@code null} if the key is not withdrawn
 */
public record KeyStatus(KeyId id, @Nullable WorkspaceId workspace, @Nullable KeyWithdrawal withdrawal) {

}
