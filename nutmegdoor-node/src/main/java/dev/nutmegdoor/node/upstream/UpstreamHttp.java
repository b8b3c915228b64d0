package dev.nutmegdoor.node.upstream;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.time.TimerService;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Connections to upstreams over HTTP/1.1. Requests are never repeated by the client: a
 * silent repetition would run an operation twice.
 */
public final class UpstreamHttp implements AutoCloseable {

	/**
	 * Idle connections are dropped before upstreams close them (10 s by the published
	 * protocol); a request on a connection that is being closed has an unknown outcome.
	 */
	private static final Duration MAX_IDLE = Duration.ofSeconds(5);

	private final ConnectionProvider connections;

	private final HttpClient client;

	private final TimerService timers;

	private final int maxAnswerBytes;

	public UpstreamHttp(TimerService timers, int maxConnectionsPerUpstream, long connectTimeoutMs, int maxAnswerBytes) {
		this.timers = timers;
		this.maxAnswerBytes = maxAnswerBytes;
		this.connections = ConnectionProvider.builder("upstream")
			.maxConnections(maxConnectionsPerUpstream)
			.pendingAcquireTimeout(Duration.ofMillis(connectTimeoutMs))
			.pendingAcquireMaxCount(2 * maxConnectionsPerUpstream)
			.maxIdleTime(MAX_IDLE)
			.build();
		this.client = HttpClient.create(this.connections)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Math.toIntExact(connectTimeoutMs))
			.option(ChannelOption.TCP_NODELAY, true)
			.disableRetry(true)
			.followRedirect(false)
			.keepAlive(true);
	}

	/**
	 * Sends a request and waits for the whole answer.
	 * @param upstream receiver
	 * @param method HTTP method
	 * @param uri path of the request
	 * @param headers additional header fields
	 * @param body JSON body, or {@code null}
	 * @param timeoutMs longest wait in milliseconds
	 * @return the answer, whatever its status; completes on the control thread, and fails
	 * if HTTP does not define the status
	 */
	CompletableFuture<ServiceResponse> exchange(Upstream upstream, HttpMethod method, String uri,
			Map<String, String> headers, @Nullable String body, long timeoutMs) {
		AtomicBoolean isWritten = new AtomicBoolean();
		Mono<ServiceResponse> answer = request(headers, isWritten).request(method)
			.uri(uri(upstream, uri))
			.send(bodyOf(body))
			.responseSingle((response, content) -> limited(content.asByteArray().flux()).reduce((a, b) -> join(a, b))
				.map((bytes) -> new String(bytes, StandardCharsets.UTF_8))
				.defaultIfEmpty("")
				.map((text) -> new ServiceResponse(definedStatus(response), text)))
			.timeout(Duration.ofMillis(Math.max(1, timeoutMs)));
		CompletableFuture<ServiceResponse> result = new CompletableFuture<>();
		answer.subscribe((value) -> onControl(() -> result.complete(value)),
				(error) -> onControl(() -> result.completeExceptionally(translate(upstream, error, isWritten.get()))),
				() -> onControl(() -> result.completeExceptionally(
						translate(upstream, new IllegalStateException("no answer"), isWritten.get()))));
		return result;
	}

	/**
	 * Sends a request and receives its answer as server-sent events.
	 * @param upstream receiver
	 * @param uri path of the request
	 * @param body JSON body
	 * @param idleTimeoutMs longest wait between two reads in milliseconds
	 * @param onData receives the data of each event on the control thread
	 * @param onEnd receives the end of the stream on the control thread: {@code null}
	 * after the last event, or the failure
	 * @return handle that closes the connection
	 */
	Disposable stream(Upstream upstream, String uri, String body, long idleTimeoutMs, Consumer<String> onData,
			Consumer<@Nullable UpstreamException> onEnd) {
		AtomicBoolean isWritten = new AtomicBoolean();
		ServerSentEvents parser = new ServerSentEvents();
		return request(Map.of(), isWritten).responseTimeout(Duration.ofMillis(idleTimeoutMs))
			.post()
			.uri(uri(upstream, uri))
			.send(bodyOf(body))
			.response((response, content) -> {
				Flux<byte[]> bytes = limited(content.asByteArray());
				if (response.status().code() != 200) {
					return bytes
						.then(Mono.<String>error(new IllegalStateException("status " + response.status().code())));
				}
				return bytes.concatMapIterable(parser::accept);
			})
			.subscribe((data) -> onControl(() -> onData.accept(data)),
					(error) -> onControl(() -> onEnd.accept(translate(upstream, error, isWritten.get()))),
					() -> onControl(() -> onEnd.accept(null)));
	}

	private HttpClient request(Map<String, String> headers, AtomicBoolean isWritten) {
		return this.client.headers((fields) -> {
			fields.set("Content-Type", "application/json");
			headers.forEach(fields::set);
		}).doOnRequest((request, connection) -> isWritten.set(true));
	}

	private Flux<byte[]> limited(Flux<byte[]> content) {
		long[] received = new long[1];
		return content.doOnNext((bytes) -> {
			received[0] += bytes.length;
			if (received[0] > this.maxAnswerBytes) {
				throw new IllegalStateException("answer is larger than " + this.maxAnswerBytes + " bytes");
			}
		});
	}

	private static int definedStatus(HttpClientResponse response) {
		if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
			throw new IllegalStateException("HTTP does not define the status " + response.status().code());
		}
		return response.status().code();
	}

	private static String uri(Upstream upstream, String path) {
		String host = (upstream.host().indexOf(':') >= 0) ? "[" + upstream.host() + "]" : upstream.host();
		return "http://" + host + ":" + upstream.port() + path;
	}

	private static ByteBufFlux bodyOf(@Nullable String body) {
		if (body == null) {
			return ByteBufFlux.fromInbound(Mono.empty());
		}
		ByteBuf buffer = Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8));
		return ByteBufFlux.fromInbound(Mono.just(buffer));
	}

	private static byte[] join(byte[] head, byte[] tail) {
		byte[] joined = new byte[head.length + tail.length];
		System.arraycopy(head, 0, joined, 0, head.length);
		System.arraycopy(tail, 0, joined, head.length, tail.length);
		return joined;
	}

	private static UpstreamException translate(Upstream upstream, Throwable error, boolean isWritten) {
		RunState run = isWritten ? RunState.UNKNOWN : RunState.NOT_RUN;
		String message = "request to upstream " + upstream.id() + " failed"
				+ (isWritten ? " after it was written: " : " before it was written: ") + error;
		UpstreamException translated = new UpstreamException(run, message);
		translated.initCause(error);
		return translated;
	}

	private void onControl(Runnable task) {
		this.timers.schedule(0, task);
	}

	@Override
	public void close() {
		this.connections.dispose();
	}

}
