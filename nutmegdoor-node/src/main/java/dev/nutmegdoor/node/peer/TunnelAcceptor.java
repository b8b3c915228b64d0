package dev.nutmegdoor.node.peer;

import io.netty.channel.ChannelHandler;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.tunnel.TunnelRequest;

/**
 * Accepts requests for tunnels to replicas.
 */
@FunctionalInterface
public interface TunnelAcceptor {

	/**
	 * Creates the handler that takes over the connection of a request. It receives each
	 * later frame as a buffer without the length prefix, and writes frames with it. It
	 * answers the request, starting when it is added to the pipeline.
	 * @param from instance that requests the tunnel
	 * @param correlationId identifier of the request, which the answer carries
	 * @param request the request
	 * @return a new handler
	 */
	ChannelHandler accept(InstanceId from, long correlationId, TunnelRequest request);

}
