package dev.nutmegdoor.node.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import dev.nutmegdoor.core.call.CallResult;
import dev.nutmegdoor.core.call.Refusal;
import dev.nutmegdoor.core.call.RefusalReason;
import dev.nutmegdoor.core.call.RunState;

/**
 * Writes the responses of chat completions. In a stream the identifier of each event with
 * text is the number of characters sent up to its end. A client resumes an interrupted
 * stream by sending the last identifier in the header {@code Last-Event-ID}.
 */
final class ChatResponses {

	private final HttpResponses responses;

	ChatResponses(HttpResponses responses) {
		this.responses = responses;
	}

	Mono<Void> complete(Exchange exchange, String model, Flux<ResponseEvent> events) {
		return events.last().flatMap((last) -> {
			if (last instanceof ResponseEvent.Completed completed) {
				return this.responses.json(exchange, 200, completion(exchange, model, completed.result()).toString());
			}
			return Mono.error(new RefusalException(refusalOf(last)));
		});
	}

	Mono<Void> stream(Exchange exchange, String model, int resumeOffset, Flux<ResponseEvent> events) {
		return events.switchOnFirst((signal, all) -> {
			ResponseEvent first = signal.get();
			if (first instanceof ResponseEvent.Refused refused) {
				return all.then(Mono.<Void>error(new RefusalException(refused.refusal())));
			}
			if (!exchange.beginResponse()) {
				return Mono.empty();
			}
			this.responses.begin(exchange, 200, "text/event-stream");
			Flux<ByteBuf> buffers = all.concatMapIterable((event) -> encode(exchange, model, resumeOffset, event), 1)
				.map((text) -> Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
			return exchange.response().send(buffers, (buffer) -> true).then();
		}).then();
	}

	private static Iterable<String> encode(Exchange exchange, String model, int resumeOffset, ResponseEvent event) {
		if (event instanceof ResponseEvent.TextChunk textChunk) {
			int end = textChunk.offset() + textChunk.text().length();
			int skipped = Math.min(textChunk.text().length(), Math.max(0, resumeOffset - textChunk.offset()));
			if (skipped == textChunk.text().length()) {
				return List.of();
			}
			ObjectNode chunk = chunk(exchange, model, textChunk.text().substring(skipped), null);
			return List.of("id: " + end + "\ndata: " + chunk + "\n\n");
		}
		if (event instanceof ResponseEvent.Completed completed) {
			ObjectNode chunk = chunk(exchange, model, null, "stop");
			chunk.set("usage", usage(completed.result()));
			return List.of("data: " + chunk + "\n\n", "data: [DONE]\n\n");
		}
		return List.of("event: error\ndata: " + HttpResponses.problemOf(exchange, refusalOf(event)) + "\n\n");
	}

	private static Refusal refusalOf(ResponseEvent event) {
		return (event instanceof ResponseEvent.Refused refused) ? refused.refusal()
				: new Refusal(RefusalReason.INTERNAL, RunState.UNKNOWN, "the call has no outcome", 0);
	}

	private static ObjectNode chunk(Exchange exchange, String model, @Nullable String text,
			@Nullable String finishReason) {
		ObjectNode chunk = head(exchange, model, "chat.completion.chunk");
		ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
		ObjectNode delta = choice.putObject("delta");
		if (text != null) {
			delta.put("content", text);
		}
		choice.put("finish_reason", finishReason);
		return chunk;
	}

	private static ObjectNode completion(Exchange exchange, String model, CallResult result) {
		ObjectNode completion = head(exchange, model, "chat.completion");
		ObjectNode choice = completion.putArray("choices").addObject().put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", result.body());
		choice.put("finish_reason", "stop");
		completion.set("usage", usage(result));
		return completion;
	}

	private static ObjectNode head(Exchange exchange, String model, String object) {
		return JsonNodeFactory.instance.objectNode()
			.put("id", exchange.decision().value())
			.put("object", object)
			.put("model", model);
	}

	private static ObjectNode usage(CallResult result) {
		ObjectNode usage = JsonNodeFactory.instance.objectNode()
			.put("prompt_tokens", result.promptTokens())
			.put("completion_tokens", result.generatedTokens())
			.put("total_tokens", result.promptTokens() + result.generatedTokens());
		usage.putObject("prompt_tokens_details").put("cached_tokens", result.cachedTokens());
		return usage;
	}

}
