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
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Applies rate limits, delays and faults to calls before and after their effect.
 */
final class CallInterceptor {

	private static final Duration WATCH_POLL = Duration.ofMillis(10);

	private final FaultSchedule faults;

	private final CallStatistics statistics;

	private final LongSupplier elapsedMs;

	private final ObjectMapper mapper;

	private final CallRate reads;

	private final CallRate writes;

	CallInterceptor(PlatformStandinSettings settings, FaultSchedule faults, CallStatistics statistics,
			LongSupplier elapsedMs, ObjectMapper mapper) {
		this.faults = faults;
		this.statistics = statistics;
		this.elapsedMs = elapsedMs;
		this.mapper = mapper;
		this.reads = new CallRate(settings.readsPerSecond());
		this.writes = new CallRate(settings.writesPerSecond());
	}

	Mono<Void> read(HttpServerResponse response, Supplier<Object> effect) {
		this.statistics.add("reads", 1);
		return delayed(() -> enter(this.reads, response, () -> run(response, effect)));
	}

	Mono<Void> write(HttpServerRequest request, HttpServerResponse response, Function<String, Object> effect) {
		this.statistics.add("writes", 1);
		return request.receive()
			.aggregate()
			.asString(StandardCharsets.UTF_8)
			.defaultIfEmpty("")
			.flatMap((body) -> delayed(() -> enter(this.writes, response, () -> {
				this.statistics.add("writtenBytes", body.getBytes(StandardCharsets.UTF_8).length);
				return respondAfterEffect(response, () -> effect.apply(body));
			})));
	}

	Mono<Void> watch(HttpServerResponse response, long timeoutMs, Supplier<WatchPage> changes) {
		this.statistics.add("watches", 1);
		long deadlineMs = this.elapsedMs.getAsLong() + timeoutMs;
		return delayed(() -> enter(this.reads, response, () -> poll(response, deadlineMs, changes)));
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

	Mono<Void> refuse(HttpServerResponse response, int status, String message) {
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
		if (this.faults.isHit(PlatformFaultKind.OUTAGE, nowMs)) {
			return refuse(response, 503, "the platform is out");
		}
		WatchPage page = changes.get();
		if (page.isGone()) {
			return refuse(response, 410, "the changes are no longer kept");
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

	private Mono<Void> enter(CallRate rate, HttpServerResponse response, Supplier<Mono<Void>> call) {
		long nowMs = this.elapsedMs.getAsLong();
		if (this.faults.isHit(PlatformFaultKind.UNREACHABLE, nowMs)) {
			return drop(response);
		}
		if (this.faults.isHit(PlatformFaultKind.OUTAGE, nowMs)) {
			return refuse(response, 503, "the platform is out");
		}
		if (!rate.take(nowMs)) {
			return refuse(response, 429, "too many calls");
		}
		return call.get();
	}

	private Mono<Void> run(HttpServerResponse response, Supplier<Object> effect) {
		try {
			return reply(response, effect.get());
		}
		catch (LostAnswerException ex) {
			return drop(response);
		}
		catch (ApiException ex) {
			return (ex.body() != null) ? reply(response, ex.status(), ex.body())
					: refuse(response, ex.status(), String.valueOf(ex.getMessage()));
		}
	}

	private Mono<Void> respondAfterEffect(HttpServerResponse response, Supplier<Object> effect) {
		long nowMs = this.elapsedMs.getAsLong();
		return run(response, () -> {
			Object value = effect.get();
			if (this.faults.isHit(PlatformFaultKind.ERROR_AFTER_EFFECT, nowMs)) {
				throw new ApiException(500, "internal error");
			}
			if (this.faults.isHit(PlatformFaultKind.LOST_ANSWER, nowMs)) {
				throw new LostAnswerException();
			}
			return value;
		});
	}

	private Mono<Void> drop(HttpServerResponse response) {
		this.statistics.add("dropped", 1);
		response.withConnection((connection) -> connection.channel().close());
		return Mono.never();
	}

}
