package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.route.ResponseMetadata;

/**
 * One request and its response on a connection to a replica. Called on the event loop of
 * the connection.
 */
interface UpstreamExchange {

	/**
	 * Returns the head of the request.
	 * @return method, target and header fields
	 */
	HttpRequest requestHead();

	/**
	 * Returns the body of the request.
	 * @return the bytes, empty if there is no body
	 */
	ByteBuf requestBody();

	/**
	 * Returns the identifier that the response must carry.
	 * @return the identifier, or {@code null} if the client sent none
	 */
	@Nullable String attemptId();

	/**
	 * Called when the head of the response has been received.
	 * @param status HTTP status
	 * @param headers header fields
	 * @param metadata values decoded from the header fields
	 */
	void responseStarted(HttpResponseStatus status, HttpHeaders headers, ResponseMetadata metadata);

	/**
	 * Called for each chunk of the response body.
	 * @param chunk bytes of the chunk; the receiver must release it
	 */
	void chunkReceived(ByteBuf chunk);

	/**
	 * Called when the response is complete.
	 */
	void responseCompleted();

	/**
	 * Called when the connection fails before the response is complete.
	 * @param reason description of the failure
	 * @param isConnectionLost whether the replica closed the connection or the connection
	 * broke, rather than that this side gave it up
	 */
	void failed(String reason, boolean isConnectionLost);

}
