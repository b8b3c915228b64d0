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

	/**
	 * Returns whether an identifier is that of an instance, as opposed to a name that
	 * this process has given to an address because it doesn't know who listens there.
	 * @param instance an identifier that has an address
	 * @return {@code true} if only the instance with this identifier may answer
	 */
	default boolean isIdentityKnown(InstanceId instance) {
		return true;
	}

}
