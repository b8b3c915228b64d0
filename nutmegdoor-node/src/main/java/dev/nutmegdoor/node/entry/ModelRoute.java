package dev.nutmegdoor.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.call.ModelCall;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.configuration.ConfigurationView;
import dev.nutmegdoor.core.configuration.UpstreamKind;

/**
 * Runs chat completions, {@code POST /v1/chat/completions}, as a stream or as a single
 * response. Fields that have no meaning for the scheduler, such as {@code temperature},
 * are not forwarded.
 */
final class ModelRoute implements Route {

	/** Usual estimate of characters per token of English text. */
	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int DEFAULT_MAX_TOKENS = 1_024;

	private static final int MAX_TOKENS_LIMIT = 131_072;

	private final BodyReader bodyReader;

	private final CallHeaders headers;

	private final CallExchange calls;

	private final ChatResponses chatResponses;

	private final ConfigurationView configuration;

	ModelRoute(BodyReader bodyReader, CallHeaders headers, CallExchange calls, ChatResponses chatResponses,
			ConfigurationView configuration) {
		this.bodyReader = bodyReader;
		this.headers = headers;
		this.calls = calls;
		this.chatResponses = chatResponses;
		this.configuration = configuration;
	}

	@Override
	public boolean matches(String method, String path) {
		return method.equals("POST") && path.equals("/v1/chat/completions");
	}

	@Override
	public Mono<Void> run(Exchange exchange) {
		return this.bodyReader.read(exchange).flatMap((body) -> {
			ModelCall call = callOf(body);
			CallRequest request = this.headers.request(exchange, call);
			boolean isStream = booleanOf(body, "stream");
			int resumeOffset = resumeOffset(exchange);
			return isStream
					? this.chatResponses.stream(exchange, call.model(), resumeOffset, this.calls.run(exchange, request))
					: this.chatResponses.complete(exchange, call.model(), this.calls.run(exchange, request));
		});
	}

	private ModelCall callOf(ObjectNode body) {
		JsonNode model = body.path("model");
		if (!model.isTextual() || model.textValue().isBlank()) {
			throw RefusalException.malformed("model: a text is expected");
		}
		boolean isServed = this.configuration.current()
			.upstreams()
			.values()
			.stream()
			.anyMatch((upstream) -> upstream.kind() == UpstreamKind.MODEL_ENGINE
					&& upstream.serves().contains(model.textValue()));
		if (!isServed) {
			throw new RefusalException(
					Refusal.notRun(RefusalReason.NOT_FOUND, "no engine serves the requested model", 0));
		}
		JsonNode messages = body.path("messages");
		if (!messages.isArray() || messages.isEmpty()) {
			throw RefusalException.malformed("messages: a list of at least one message is expected");
		}
		for (JsonNode message : messages) {
			if (!message.path("role").isTextual() || !message.has("content")) {
				throw RefusalException.malformed("messages: each message needs role and content");
			}
		}
		String messagesJson = messages.toString();
		return new ModelCall(model.textValue(), messagesJson, Math.max(1, messagesJson.length() / CHARACTERS_PER_TOKEN),
				maxTokensOf(body));
	}

	private static int maxTokensOf(ObjectNode body) {
		JsonNode value = body.has("max_completion_tokens") ? body.get("max_completion_tokens") : body.get("max_tokens");
		if (value == null) {
			return DEFAULT_MAX_TOKENS;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_TOKENS_LIMIT) {
			throw RefusalException
				.malformed("max_tokens: a whole number from 1 to " + MAX_TOKENS_LIMIT + " is expected");
		}
		return value.intValue();
	}

	private static boolean booleanOf(ObjectNode body, String name) {
		JsonNode value = body.path(name);
		if (!value.isMissingNode() && !value.isBoolean()) {
			throw RefusalException.malformed(name + ": true or false is expected");
		}
		return value.asBoolean(false);
	}

	private static int resumeOffset(Exchange exchange) {
		String text = exchange.header("Last-Event-ID");
		if (text == null) {
			return 0;
		}
		try {
			int offset = Integer.parseInt(text);
			if (offset >= 0) {
				return offset;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with negative numbers.
		}
		throw RefusalException.malformed("the header Last-Event-ID must be the number of characters received");
	}

}
