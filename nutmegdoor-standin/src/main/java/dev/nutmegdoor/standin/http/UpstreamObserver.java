package dev.nutmegdoor.standin.http;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Learns what the stand-ins see. May be called from any thread.
 */
public interface UpstreamObserver {

	/** Observer that ignores everything. */
	UpstreamObserver NONE = new UpstreamObserver() {
	};

	/**
	 * Called for each request, before it is run.
	 * @param upstream receiver
	 * @param text method, path, all header fields and the body
	 */
	default void received(UpstreamId upstream, String text) {
	}

	/**
	 * Called when an engine begins a stream.
	 * @param upstream the engine
	 * @param streamId identifier of the stream
	 * @param program program of the stream, or {@code null}
	 * @param promptTokens tokens of the prompt
	 * @param cachedTokens tokens of the prompt that were cached
	 */
	default void streamStarted(UpstreamId upstream, String streamId, @Nullable String program, int promptTokens,
			int cachedTokens) {
	}

	/**
	 * Called when a service has carried out an operation.
	 * @param upstream the replica
	 * @param operation {@code <service>/<operation>}
	 * @param idempotencyKey key of the call, or {@code null}
	 */
	default void operationRun(UpstreamId upstream, String operation, @Nullable String idempotencyKey) {
	}

}
