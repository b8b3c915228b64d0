package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;

import net.openhft.hashing.LongHashFunction;

import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.key.Authentication;
import dev.nutmegdoor.core.key.KeyAuthenticator;
import dev.nutmegdoor.core.route.Deployment;
import dev.nutmegdoor.core.route.RouteTable;

/**
 * Authenticates callers by the keys of the newest configuration. A key is withdrawn by a
 * version of the configuration that does not contain it.
 */
final class RoutedKeyAuthenticator implements KeyAuthenticator {

	private final Deployment deployment;

	RoutedKeyAuthenticator(Deployment deployment) {
		this.deployment = deployment;
	}

	@Override
	public Authentication authenticate(String presentedKey) {
		RouteTable table = this.deployment.routes();
		WorkspaceId workspace = (table != null) ? table.workspaceOf(presentedKey) : null;
		return (workspace != null) ? Authentication.of(idOf(presentedKey), workspace)
				: Authentication.refused(RefusalReason.UNAUTHENTICATED);
	}

	@Override
	public boolean isActive(KeyId key) {
		return true;
	}

	// The identifier appears in logs and must not reveal the key.
	private static KeyId idOf(String presentedKey) {
		byte[] bytes = presentedKey.getBytes(StandardCharsets.UTF_8);
		return new KeyId("k-" + Long.toHexString(LongHashFunction.xx().hashBytes(bytes)));
	}

}
