package dev.nutmegdoor.node.peer;

import java.net.InetSocketAddress;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Looks up the addresses of instances.
 */
@FunctionalInterface
public interface PeerAddresses {

	/**
	 * Returns the address for messages to an instance.
	 * @param instance the instance
	 * @return its IP number and TCP port, or {@code null} if they are unknown
	 */
	@Nullable InetSocketAddress addressOf(InstanceId instance);

}
