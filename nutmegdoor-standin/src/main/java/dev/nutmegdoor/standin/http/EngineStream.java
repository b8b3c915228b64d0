package dev.nutmegdoor.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * A stream that an engine generates. The text begins with a digest of the last message,
 * by which a caller recognises the answer to its own request.
 */
final class EngineStream {

	private static final String[] WORDS = { "pipe", "lagging", "of", "forty", "millimetres", "is", "in", "stock", "and",
			"ships", "from", "the", "nearest", "depot", "on", "Thursday" };

	private final String id;

	private final @Nullable String program;

	private final int promptTokens;

	private final int maxTokens;

	private final int priority;

	private final String digest;

	private final Sinks.Many<String> sink = Sinks.many().unicast().onBackpressureBuffer();

	private int cachedTokens;

	private int prefilledTokens;

	private int generatedTokens;

	private int offset;

	EngineStream(JsonNode request) {
		this.id = request.path("streamId").asText();
		this.program = request.has("program") ? request.path("program").asText() : null;
		this.promptTokens = Math.max(1, request.path("promptTokens").asInt());
		this.maxTokens = Math.max(1, request.path("maxTokens").asInt());
		this.priority = request.path("priority").asInt();
		JsonNode messages = request.path("messages");
		this.digest = digest(messages.path(messages.size() - 1).path("content").asText());
	}

	/**
	 * Returns the digest with which the answer to a message begins.
	 * @param content text of the last message of a request
	 * @return eight hexadecimal digits
	 */
	static String digest(String content) {
		return String.format("%08x", content.hashCode());
	}

	String id() {
		return this.id;
	}

	@Nullable String program() {
		return this.program;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int generatedTokens() {
		return this.generatedTokens;
	}

	int priority() {
		return this.priority;
	}

	Flux<String> events() {
		return this.sink.asFlux();
	}

	void beginPrefill(int cached) {
		this.cachedTokens = cached;
		this.prefilledTokens = cached;
	}

	boolean isPrefilling() {
		return this.prefilledTokens < this.promptTokens;
	}

	int prefill(int tokens) {
		int count = Math.min(tokens, this.promptTokens - this.prefilledTokens);
		this.prefilledTokens += count;
		return count;
	}

	/**
	 * Generates one token.
	 * @return whether it was the last one
	 */
	boolean generate() {
		String token = (this.generatedTokens == 0) ? this.digest
				: " " + WORDS[(this.digest.hashCode() + this.generatedTokens) & (WORDS.length - 1)];
		this.generatedTokens++;
		emit(JsonNodeFactory.instance.objectNode().put("offset", this.offset).put("text", token).put("tokens", 1));
		this.offset += token.length();
		if (this.generatedTokens < this.maxTokens) {
			return false;
		}
		emit(JsonNodeFactory.instance.objectNode()
			.put("done", true)
			.put("promptTokens", this.promptTokens)
			.put("cachedTokens", this.cachedTokens)
			.put("generatedTokens", this.generatedTokens));
		this.sink.tryEmitComplete();
		return true;
	}

	void fail(String reason) {
		emit(JsonNodeFactory.instance.objectNode().put("error", reason));
		this.sink.tryEmitComplete();
	}

	private void emit(ObjectNode event) {
		this.sink.tryEmitNext("data: " + event + "\n\n");
	}

}
