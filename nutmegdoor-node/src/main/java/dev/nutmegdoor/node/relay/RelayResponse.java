package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerResponse;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;

/**
 * Writes the response to a relayed request to the client as it arrives from the replica.
 * Confined to the event loop of the client's connection.
 */
final class RelayResponse {

	/**
	 * Bytes that wait for the client, above which the replica is no longer read; a body
	 * may be large or never end.
	 */
	private static final long HIGH_WATER_BYTES = 256 * 1024;

	private static final long LOW_WATER_BYTES = 64 * 1024;

	/** Value of {@code SO_LINGER} with which closing a socket resets its connection. */
	private static final int RESET_ON_CLOSE = 0;

	private static final int LINGER_DISABLED = -1;

	private final Exchange exchange;

	private final Sinks.One<Head> head = Sinks.one();

	private final Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();

	private long bufferedBytes;

	private @Nullable Runnable drainListener;

	private boolean isBodySubscribed;

	/** Whether further chunks are dropped. */
	private boolean isEnded;

	private boolean isEndedByClose;

	RelayResponse(Exchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Writes the response to the client.
	 * @return completes when the response has been written, fails with
	 * {@link RefusalException} if the request was refused
	 */
	Mono<Void> respond() {
		return this.head.asMono().flatMap((received) -> {
			if (!this.exchange.beginResponse()) {
				return Mono.empty();
			}
			HttpServerResponse response = this.exchange.response().status(received.status());
			delimit(response, received);
			// Fields that are set already concern the connection to the client and stay.
			received.headers().forEach((field) -> response.addHeader(field.getKey(), field.getValue()));
			this.isBodySubscribed = true;
			// Each chunk is flushed immediately: clients wait for individual events.
			return response.send(this.body.asFlux().doOnNext(this::chunkTaken), (chunk) -> true)
				.then()
				.doOnSuccess((written) -> written());
		}).doFinally((signal) -> discardRest());
	}

	// A request that may not be repeated goes on after its client has left, and its
	// response is read to the end.
	private void discardRest() {
		this.isEnded = true;
		if (!this.isBodySubscribed) {
			this.body.asFlux().subscribe(ByteBuf::release);
		}
		this.bufferedBytes = 0;
		notifyDrained();
	}

	// A client recognizes a partial response by a missing last chunk or by its length.
	// Without either, the end of the connection ends the response, so the connection of
	// a partial one must be reset, also if this process is killed.
	private void delimit(HttpServerResponse response, Head received) {
		boolean hasLength = received.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
		boolean supportsChunks = this.exchange.request().version().equals(HttpVersion.HTTP_1_1);
		response.chunkedTransfer(!hasLength && supportsChunks);
		if (!hasLength && !supportsChunks && hasBody(received.status())) {
			this.isEndedByClose = true;
			setLinger(RESET_ON_CLOSE);
		}
	}

	// A response without a body ends with its head. Reactor Netty closes the connection
	// as soon as that is written, which must not reset it.
	private boolean hasBody(HttpResponseStatus status) {
		return !this.exchange.request().method().equals(HttpMethod.HEAD)
				&& !status.equals(HttpResponseStatus.NO_CONTENT) && !status.equals(HttpResponseStatus.NOT_MODIFIED);
	}

	private void written() {
		if (this.isEndedByClose) {
			setLinger(LINGER_DISABLED);
		}
	}

	private void setLinger(int value) {
		this.exchange.channel().config().setOption(ChannelOption.SO_LINGER, value);
	}

	void start(HttpResponseStatus status, HttpHeaders headers) {
		this.head.tryEmitValue(new Head(status, headers));
	}

	void writeChunk(ByteBuf chunk) {
		if (this.isEnded) {
			chunk.release();
			return;
		}
		int bytes = chunk.readableBytes();
		this.bufferedBytes += bytes;
		if (this.body.tryEmitNext(chunk).isFailure()) {
			this.bufferedBytes -= bytes;
			chunk.release();
		}
	}

	private void chunkTaken(ByteBuf chunk) {
		this.bufferedBytes -= chunk.readableBytes();
		notifyDrained();
	}

	private void notifyDrained() {
		Runnable listener = this.drainListener;
		if (listener != null && this.bufferedBytes <= LOW_WATER_BYTES) {
			this.drainListener = null;
			listener.run();
		}
	}

	boolean isFull() {
		return this.bufferedBytes > HIGH_WATER_BYTES;
	}

	/**
	 * Sets an action that runs once, when the client has taken most of what waits.
	 * @param listener the action
	 */
	void onDrained(Runnable listener) {
		this.drainListener = listener;
	}

	void complete() {
		this.isEnded = true;
		this.body.tryEmitComplete();
	}

	/**
	 * Closes the connection, so that a partly forwarded response does not look complete.
	 */
	void abort() {
		this.isEnded = true;
		this.exchange.channel().close();
		this.body.tryEmitError(new IllegalStateException("the response was aborted before it was complete"));
	}

	void refuse(Refusal refusal) {
		this.isEnded = true;
		this.head.tryEmitError(new RefusalException(refusal));
	}

	private record Head(HttpResponseStatus status, HttpHeaders headers) {

	}

}
