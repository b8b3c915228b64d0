package dev.nutmegdoor.node.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.node.entry.Exchange;
import dev.nutmegdoor.node.entry.RefusalException;

/**
 * The client's side of a relayed request: passes the answer on as it arrives. Confined to
 * the event loop of the client's connection.
 */
final class RelayResponse {

	private final Exchange exchange;

	private final Sinks.One<Head> head = Sinks.one();

	private final Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();

	private boolean isEnded;

	RelayResponse(Exchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Writes the answer to the client.
	 * @return completes after the answer, fails with {@link RefusalException} if the
	 * request was refused
	 */
	Mono<Void> respond() {
		return this.head.asMono().flatMap((received) -> {
			if (!this.exchange.beginResponse()) {
				return Mono.empty();
			}
			this.exchange.response().status(received.status()).headers(received.headers());
			// Each piece is flushed at once: a client waits for single events.
			return this.exchange.response().send(this.body.asFlux(), (chunk) -> true).then();
		});
	}

	void start(HttpResponseStatus status, HttpHeaders headers) {
		this.head.tryEmitValue(new Head(status, headers));
	}

	void writeChunk(ByteBuf chunk) {
		if (this.isEnded || this.body.tryEmitNext(chunk).isFailure()) {
			chunk.release();
		}
	}

	void complete() {
		this.isEnded = true;
		this.body.tryEmitComplete();
	}

	/**
	 * Cuts the connection, so that the part of the answer that was passed on does not
	 * look complete.
	 */
	void abort() {
		this.isEnded = true;
		this.exchange.channel().close();
		this.body.tryEmitError(new IllegalStateException("the answer broke off"));
	}

	void refuse(Refusal refusal) {
		this.isEnded = true;
		this.head.tryEmitError(new RefusalException(refusal));
	}

	private record Head(HttpResponseStatus status, HttpHeaders headers) {

	}

}
