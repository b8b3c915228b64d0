package dev.nutmegdoor.experiment.processor;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

import dev.nutmegdoor.platform.SyntheticDeployment;

/**
 * Sends requests of one kind, a few at a time.
 */
final class RequestSender {

	private static final int CONCURRENCY = 4;

	private static final int TURNS_PER_PROGRAM = 5;

	private static final int TURN_BYTES = 6_000;

	private static final int NOTE_BYTES = 600;

	private static final Duration TIMEOUT = Duration.ofSeconds(6);

	private static final AtomicLong attempts = new AtomicLong(System.currentTimeMillis() << 16);

	private RequestSender() {
	}

	/**
	 * Sends requests and waits for their responses.
	 * @param front address of the gateway
	 * @param count number of requests
	 * @param isTurn whether they are turns of agent programs
	 * @return requests that were answered with 200
	 */
	static long send(InetSocketAddress front, int count, boolean isTurn) {
		HttpClient client = HttpClient.create();
		String url = "http://" + front.getHostString() + ":" + front.getPort() + (isTurn ? "/turn/1" : "/note/1");
		long firstProgram = attempts.incrementAndGet();
		return Flux.range(0, count)
			.flatMap((number) -> send(client, url, number, firstProgram, isTurn), CONCURRENCY)
			.filter((status) -> status == 200)
			.count()
			.blockOptional(Duration.ofMinutes(2))
			.orElse(0L);
	}

	private static Mono<Integer> send(HttpClient client, String url, int number, long firstProgram, boolean isTurn) {
		byte[] body = new byte[isTurn ? TURN_BYTES : NOTE_BYTES];
		long program = firstProgram + number / TURNS_PER_PROGRAM;
		Map<String, String> fields = isTurn ? SyntheticDeployment.turnFields("p" + program)
				: SyntheticDeployment.requestFields();
		return client.headers((headers) -> {
			fields.forEach(headers::set);
			headers.set(HttpHeaderNames.HOST, Site.HOST);
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + Site.keyOf(number % Site.WORKSPACES));
			headers.set(SyntheticDeployment.ATTEMPT_ID, Long.toHexString(attempts.incrementAndGet()));
		})
			.post()
			.uri(url)
			.send(ByteBufFlux.fromInbound(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body))))
			.responseSingle((response, content) -> content.asByteArray()
				.map((bytes) -> response.status().code())
				.defaultIfEmpty(response.status().code()))
			.timeout(TIMEOUT)
			.onErrorReturn(0);
	}

}
