package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.route.ResponseMetadata;

/**
 * One request on a connection to a replica. Called on the event loop of the connection.
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
	 * Returns the identifier that the answer must carry.
	 * @return the identifier, or {@code null} if the client sent none
	 */
	@Nullable String attemptId();

	/**
	 * Receives the head of the answer.
	 * @param status HTTP status
	 * @param headers header fields
	 * @param metadata what the fields say
	 */
	void responseStarted(HttpResponseStatus status, HttpHeaders headers, ResponseMetadata metadata);

	/**
	 * Receives a piece of the body, which the receiver releases.
	 * @param chunk the piece
	 */
	void chunkReceived(ByteBuf chunk);

	/**
	 * Called when the answer is complete.
	 */
	void responseCompleted();

	/**
	 * Called when the connection failed before the answer was complete.
	 * @param reason description of the failure
	 */
	void failed(String reason);

}
