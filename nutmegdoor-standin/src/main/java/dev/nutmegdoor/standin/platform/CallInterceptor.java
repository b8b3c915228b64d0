package dev.nutmegdoor.standin.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Applies delays, faults and rate limits to requests before their effect, and faults to
 * changes after their effect.
 */
final class CallInterceptor {

	private static final Duration WATCH_POLL = Duration.ofMillis(10);

	private final FaultSchedule faults;

	private final CallStatistics statistics;

	private final LongSupplier elapsedMs;

	private final ObjectMapper mapper;

	private final CallRate readRate;

	private final CallRate writeRate;

	CallInterceptor(PlatformStandinSettings settings, FaultSchedule faults, CallStatistics statistics,
			LongSupplier elapsedMs, ObjectMapper mapper) {
		this.faults = faults;
		this.statistics = statistics;
		this.elapsedMs = elapsedMs;
		this.mapper = mapper;
		this.readRate = new CallRate(settings.readsPerSecond());
		this.writeRate = new CallRate(settings.writesPerSecond());
	}

	Mono<Void> read(HttpServerResponse response, Supplier<Object> operation) {
		this.statistics.add("reads", 1);
		return delayed(() -> admit(this.readRate, response, () -> run(response, operation)));
	}

	// What may be stale doesn't count toward the rate.
	Mono<Void> readStale(HttpServerResponse response, Supplier<Object> operation) {
		this.statistics.add("staleReads", 1);
		return delayed(() -> admit(null, response, () -> run(response, operation)));
	}

	Mono<Void> write(HttpServerRequest request, HttpServerResponse response, Function<String, Object> operation) {
		this.statistics.add("writes", 1);
		return request.receive()
			.aggregate()
			.asString(StandardCharsets.UTF_8)
			.defaultIfEmpty("")
			.flatMap((body) -> delayed(() -> admit(this.writeRate, response, () -> {
				this.statistics.add("writtenBytes", body.getBytes(StandardCharsets.UTF_8).length);
				return respondAfterEffect(response, () -> operation.apply(body));
			})));
	}

	Mono<Void> watch(HttpServerResponse response, long timeoutMs, Supplier<WatchPage> changes) {
		this.statistics.add("watches", 1);
		long deadlineMs = this.elapsedMs.getAsLong() + timeoutMs;
		return delayed(() -> admit(this.readRate, response, () -> poll(response, deadlineMs, changes)));
	}

	Mono<Void> reply(HttpServerResponse response, Object value) {
		return reply(response, 200, value);
	}

	private Mono<Void> reply(HttpServerResponse response, int status, Object value) {
		try {
			return response.status(status)
				.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
				.sendString(Mono.just(this.mapper.writeValueAsString(value)))
				.then();
		}
		catch (JsonProcessingException ex) {
			return Mono.error(ex);
		}
	}

	Mono<Void> reject(HttpServerResponse response, int status, String message) {
		this.statistics.add("status" + status, 1);
		if (status == 429) {
			response.header(HttpHeaderNames.RETRY_AFTER, "1");
		}
		try {
			return response.status(status)
				.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
				.sendString(Mono.just(this.mapper.writeValueAsString(Map.of("message", message))))
				.then();
		}
		catch (JsonProcessingException ex) {
			return Mono.error(ex);
		}
	}

	private Mono<Void> poll(HttpServerResponse response, long deadlineMs, Supplier<WatchPage> changes) {
		long nowMs = this.elapsedMs.getAsLong();
		if (this.faults.isTriggered(PlatformFaultKind.OUTAGE, nowMs)) {
			return reject(response, 503, "the platform is out");
		}
		WatchPage page = changes.get();
		if (page.isGone()) {
			return reject(response, 410, "the changes are no longer kept");
		}
		if (page.isFinal() || nowMs >= deadlineMs) {
			return reply(response, page.toJson());
		}
		return Mono.delay(WATCH_POLL).then(Mono.defer(() -> poll(response, deadlineMs, changes)));
	}

	private Mono<Void> delayed(Supplier<Mono<Void>> call) {
		long delayMs = this.faults.delayMs(this.elapsedMs.getAsLong());
		return (delayMs > 0) ? Mono.delay(Duration.ofMillis(delayMs)).then(Mono.defer(call)) : Mono.defer(call);
	}

	private Mono<Void> admit(@Nullable CallRate rate, HttpServerResponse response, Supplier<Mono<Void>> call) {
		long nowMs = this.elapsedMs.getAsLong();
		if (this.faults.isTriggered(PlatformFaultKind.UNREACHABLE, nowMs)) {
			return closeConnection(response);
		}
		if (this.faults.isTriggered(PlatformFaultKind.OUTAGE, nowMs)) {
			return reject(response, 503, "the platform is out");
		}
		if (rate != null && !rate.tryAcquire(nowMs)) {
			return reject(response, 429, "too many calls");
		}
		return call.get();
	}

	private Mono<Void> run(HttpServerResponse response, Supplier<Object> operation) {
		try {
			return reply(response, operation.get());
		}
		catch (LostAnswerException ex) {
			return closeConnection(response);
		}
		catch (ApiException ex) {
			return (ex.body() != null) ? reply(response, ex.status(), ex.body())
					: reject(response, ex.status(), String.valueOf(ex.getMessage()));
		}
	}

	private Mono<Void> respondAfterEffect(HttpServerResponse response, Supplier<Object> operation) {
		long nowMs = this.elapsedMs.getAsLong();
		return run(response, () -> {
			Object value = operation.get();
			if (this.faults.isTriggered(PlatformFaultKind.ERROR_AFTER_EFFECT, nowMs)) {
				throw new ApiException(500, "internal error");
			}
			if (this.faults.isTriggered(PlatformFaultKind.LOST_ANSWER, nowMs)) {
				throw new LostAnswerException();
			}
			return value;
		});
	}

	private Mono<Void> closeConnection(HttpServerResponse response) {
		this.statistics.add("dropped", 1);
		response.withConnection((connection) -> connection.channel().close());
		return Mono.never();
	}

}
