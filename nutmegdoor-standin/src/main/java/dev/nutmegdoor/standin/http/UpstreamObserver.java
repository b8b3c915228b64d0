package dev.nutmegdoor.standin.http;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;

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
	 * Called when an engine accepts a stream.
	 * @param upstream the engine
	 * @param request the request
	 */
	default void streamStarted(UpstreamId upstream, EngineRequest request) {
	}

	/**
	 * Called when an engine has generated the whole answer of a stream.
	 * @param upstream the engine
	 * @param request the request
	 * @param result the answer
	 */
	default void streamEnded(UpstreamId upstream, EngineRequest request, EngineResult result) {
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
