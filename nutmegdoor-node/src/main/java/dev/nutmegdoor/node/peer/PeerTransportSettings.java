package dev.nutmegdoor.node.peer;

/**
 * Settings of the transport between instances.
 *
 * @param host IP number to listen on
 * @param port TCP port to listen on, 0 for any
 * @param sharedSecret secret that all instances of a deployment know; a connection with
 * another secret is closed
 * @param maxQueuedFrames frames that wait for a slow peer; further ones are dropped, so
 * that a stalled peer can't exhaust memory
 * @param connectTimeoutMs longest wait for a connection in milliseconds
 */
public record PeerTransportSettings(String host, int port, String sharedSecret, int maxQueuedFrames,
		int connectTimeoutMs) {

	/** Default of {@link #maxQueuedFrames()}. */
	public static final int DEFAULT_MAX_QUEUED_FRAMES = 4_096;

	/** Default of {@link #connectTimeoutMs()}. */
	public static final int DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

}
