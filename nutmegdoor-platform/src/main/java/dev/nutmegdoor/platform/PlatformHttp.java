package dev.nutmegdoor.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

import dev.nutmegdoor.core.store.StoreException;
import dev.nutmegdoor.core.store.StoreFailure;

/**
 * Sends single requests to the platform and translates HTTP failures to
 * {@link StoreException}. Futures complete on the control executor.
 */
public final class PlatformHttp implements AutoCloseable {

	/**
	 * Connections per process. A pending watch occupies one, and an instance has a few
	 * watches and short calls at a time.
	 */
	private static final int MAX_CONNECTIONS = 32;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ConnectionProvider connections;

	private final HttpClient client;

	private final Executor control;

	private final int requestTimeoutMs;

	public PlatformHttp(PlatformEndpoint endpoint, Executor control) {
		this.control = control;
		this.requestTimeoutMs = endpoint.requestTimeoutMs();
		this.connections = ConnectionProvider.builder("platform").maxConnections(MAX_CONNECTIONS).build();
		// A request that Reactor Netty repeats on a broken connection would meet its own
		// earlier effect and report a conflict, hence no automatic retry.
		this.client = HttpClient.create(this.connections)
			.host(endpoint.host())
			.port(endpoint.port())
			.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, endpoint.connectTimeoutMs());
	}

	static String path(String... segments) {
		StringBuilder path = new StringBuilder();
		for (String segment : segments) {
			path.append('/').append(encode(segment));
		}
		return path.toString();
	}

	static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

	JsonNode parse(PlatformReply reply) {
		try {
			return this.mapper.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			throw new StoreException(StoreFailure.UNAVAILABLE, "platform sent an answer that is not JSON", ex);
		}
	}

	String write(Object value) {
		try {
			return this.mapper.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value cannot be written as JSON", ex);
		}
	}

	<T> CompletableFuture<T> read(String uri, long waitMs, Function<JsonNode, T> parser) {
		return exchange(false, HttpMethod.GET, uri, null, null, waitMs, (reply) -> parser.apply(parse(reply)));
	}

	<T> CompletableFuture<T> write(HttpMethod method, String uri, @Nullable Precondition precondition,
			@Nullable String body, Function<JsonNode, T> parser) {
		return exchange(true, method, uri, precondition, body, 0, (reply) -> {
			try {
				return parser.apply(parse(reply));
			}
			catch (RuntimeException ex) {
				throw new StoreException(StoreFailure.OUTCOME_UNKNOWN, "answer to a change is not readable", ex);
			}
		});
	}

	private <T> CompletableFuture<T> exchange(boolean isWrite, HttpMethod method, String uri,
			@Nullable Precondition precondition, @Nullable String body, long waitMs,
			Function<PlatformReply, T> parser) {
		AtomicBoolean isSent = new AtomicBoolean();
		HttpClient.RequestSender sender = this.client.doOnRequest((request, connection) -> isSent.set(true))
			.headers((headers) -> {
				if (precondition != null) {
					headers.set(precondition.header(), precondition.value());
				}
			})
			.request(method)
			.uri(uri);
		HttpClient.ResponseReceiver<?> receiver = (body != null)
				? sender.send(Mono.fromSupplier(() -> Unpooled.copiedBuffer(body, StandardCharsets.UTF_8))) : sender;
		CompletableFuture<T> result = new CompletableFuture<>();
		receiver
			.responseSingle((response, content) -> content.asString(StandardCharsets.UTF_8)
				.defaultIfEmpty("")
				.map((text) -> new PlatformReply(response.status().code(), text)))
			.timeout(Duration.ofMillis(this.requestTimeoutMs + waitMs))
			.subscribe((reply) -> this.control.execute(() -> complete(result, isWrite, uri, reply, parser)),
					(error) -> this.control
						.execute(() -> result.completeExceptionally(translate(isWrite, isSent.get(), uri, error))));
		return result;
	}

	private static <T> void complete(CompletableFuture<T> result, boolean isWrite, String uri, PlatformReply reply,
			Function<PlatformReply, T> parser) {
		try {
			if (!reply.isSuccess()) {
				throw new StoreException(failureOf(isWrite, reply.status()),
						"platform answered " + reply.status() + " to " + uri);
			}
			result.complete(parser.apply(reply));
		}
		catch (RuntimeException ex) {
			result.completeExceptionally(ex);
		}
	}

	private static StoreFailure failureOf(boolean isWrite, int status) {
		return switch (status) {
			case 404 -> StoreFailure.NOT_FOUND;
			case 409, 412 -> StoreFailure.CONFLICT;
			case 429 -> StoreFailure.RATE_LIMITED;
			case 503 -> StoreFailure.UNAVAILABLE;
			default -> {
				if (status < 500) {
					yield StoreFailure.INVALID;
				}
				// Only 503 is documented to be sent before any effect.
				yield isWrite ? StoreFailure.OUTCOME_UNKNOWN : StoreFailure.UNAVAILABLE;
			}
		};
	}

	private static StoreException translate(boolean isWrite, boolean isSent, String uri, Throwable error) {
		// A timeout can race with the writing of the request, so it never proves that
		// the request was not sent.
		boolean isMaybeSent = isSent || error instanceof TimeoutException;
		StoreFailure failure = (isWrite && isMaybeSent) ? StoreFailure.OUTCOME_UNKNOWN : StoreFailure.UNAVAILABLE;
		return new StoreException(failure, "call to " + uri + " failed: " + error, error);
	}

	@Override
	public void close() {
		this.connections.dispose();
	}

}
