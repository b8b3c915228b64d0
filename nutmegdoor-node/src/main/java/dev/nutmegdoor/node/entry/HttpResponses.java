package dev.nutmegdoor.node.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.limit.Admission;

/**
 * Writes JSON responses, and refusals as problem details (RFC 9457).
 */
public final class HttpResponses {

	/** Prefix of the {@code type} of problems; clients rely on it. */
	static final String TYPE_PREFIX = "urn:nutmegdoor:problem:";

	static final String DECISION_HEADER = "Nutmegdoor-Decision";

	static final String RUN_HEADER = "Nutmegdoor-Run";

	private static final long MS_PER_SECOND = 1_000;

	private final ConfigurationView configuration;

	private final RetryAfterStyle retryAfterStyle;

	public HttpResponses(ConfigurationView configuration, RetryAfterStyle retryAfterStyle) {
		this.configuration = configuration;
		this.retryAfterStyle = retryAfterStyle;
	}

	/**
	 * Sets the status and the header fields that all responses have in common.
	 * @param exchange request to respond to
	 * @param status HTTP status code
	 * @param contentType media type of the response
	 */
	void begin(Exchange exchange, int status, String contentType) {
		exchange.response()
			.status(HttpResponseStatus.valueOf(status))
			.header("Content-Type", contentType)
			.header("Cache-Control", "no-store")
			.header(DECISION_HEADER, exchange.decision().value());
		Admission admission = exchange.admission();
		WorkspaceId workspaceId = exchange.workspaceOrNull();
		Workspace workspace = (workspaceId != null) ? this.configuration.current().workspaces().get(workspaceId) : null;
		if (admission != null && workspace != null) {
			exchange.response()
				.header("RateLimit-Policy",
						"\"workspace\";q=" + workspace.burst() + ";rate=" + workspace.ratePerSecond())
				.header("RateLimit-Limit", Integer.toString(workspace.burst()))
				.header("RateLimit-Remaining", Long.toString(admission.remaining()))
				.header("RateLimit-Reset", Long.toString(roundUpToSeconds(admission.retryAfterMs())));
		}
	}

	Mono<Void> json(Exchange exchange, int status, String body) {
		if (!exchange.beginResponse()) {
			return Mono.empty();
		}
		begin(exchange, status, "application/json");
		return exchange.response().sendString(Mono.just(body)).then();
	}

	Mono<Void> problem(Exchange exchange, Refusal refusal) {
		if (!exchange.beginResponse()) {
			return Mono.empty();
		}
		begin(exchange, refusal.reason().httpStatus(), "application/problem+json");
		exchange.response().header(RUN_HEADER, refusal.run().wireName());
		if (refusal.retryAfterMs() > 0) {
			exchange.response().header("Retry-After", this.retryAfterStyle.format(refusal.retryAfterMs()));
		}
		if (refusal.reason().httpStatus() == HttpResponseStatus.UNAUTHORIZED.code()) {
			exchange.response().header("WWW-Authenticate", "Bearer");
		}
		return exchange.response().sendString(Mono.just(problemOf(exchange, refusal).toString())).then();
	}

	/**
	 * Returns a refusal in the form of problem details.
	 * @param exchange request whose decision identifier is included
	 * @param refusal refusal to describe
	 * @return JSON object, with {@code retryAfterMs} only if it is positive
	 */
	static ObjectNode problemOf(Exchange exchange, Refusal refusal) {
		ObjectNode problem = JsonNodeFactory.instance.objectNode()
			.put("type", TYPE_PREFIX + refusal.reason().typeName())
			.put("title", titleOf(refusal))
			.put("status", refusal.reason().httpStatus())
			.put("detail", refusal.detail())
			.put("decision", exchange.decision().value())
			.put("run", refusal.run().wireName());
		if (refusal.retryAfterMs() > 0) {
			problem.put("retryAfterMs", refusal.retryAfterMs());
		}
		return problem;
	}

	private static String titleOf(Refusal refusal) {
		String words = refusal.reason().typeName().replace('-', ' ');
		return Character.toUpperCase(words.charAt(0)) + words.substring(1);
	}

	static long roundUpToSeconds(long milliseconds) {
		return (milliseconds + MS_PER_SECOND - 1) / MS_PER_SECOND;
	}

	static @Nullable String blankToNull(@Nullable String text) {
		return (text == null || text.isBlank()) ? null : text.strip();
	}

}
