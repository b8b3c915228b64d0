package dev.nutmegdoor.node.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;

import dev.nutmegdoor.core.call.RunState;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;
import dev.nutmegdoor.core.upstream.EngineClient;
import dev.nutmegdoor.core.upstream.EngineRequest;
import dev.nutmegdoor.core.upstream.EngineResult;
import dev.nutmegdoor.core.upstream.ServiceResponse;
import dev.nutmegdoor.core.upstream.TokenListener;
import dev.nutmegdoor.core.upstream.UpstreamException;

/**
 * Calls model engines over HTTP and server-sent events. Used from the control thread.
 */
public final class HttpEngineClient implements EngineClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Longest wait for the acknowledgement of a command. */
	private static final long COMMAND_TIMEOUT_MS = 5_000;

	private final UpstreamHttp http;

	private final OutboundRequestCheck outgoingCheck;

	private final long streamIdleTimeoutMs;

	private final Map<String, Stream> streams = new HashMap<>();

	/**
	 * Creates the client.
	 * @param http connections to upstreams
	 * @param outgoingCheck check of each request before it is written
	 * @param streamIdleTimeoutMs longest silence of a stream in milliseconds
	 */
	public HttpEngineClient(UpstreamHttp http, OutboundRequestCheck outgoingCheck, long streamIdleTimeoutMs) {
		this.http = http;
		this.outgoingCheck = outgoingCheck;
		this.streamIdleTimeoutMs = streamIdleTimeoutMs;
	}

	@Override
	public CompletableFuture<EngineResult> generate(Upstream upstream, EngineRequest request, TokenListener listener) {
		String body;
		try {
			body = bodyOf(request);
			this.outgoingCheck.checkNewWork(upstream, body);
		}
		catch (UpstreamException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		Stream stream = new Stream(upstream, request.streamId(), listener);
		this.streams.put(request.streamId(), stream);
		stream.connection = this.http.stream(upstream, "/v1/generate", body, this.streamIdleTimeoutMs, stream::accept,
				stream::end);
		return stream.result;
	}

	private static String bodyOf(EngineRequest request) {
		try {
			ObjectNode body = MAPPER.createObjectNode()
				.put("streamId", request.streamId())
				.put("model", request.model())
				.put("promptTokens", request.promptTokens())
				.put("maxTokens", request.maxTokens())
				.put("priority", request.priority());
			if (request.program() != null) {
				body.put("program", request.program().toString());
			}
			body.set("prefixHashes", MAPPER.valueToTree(request.prefixHashes()));
			body.set("messages", MAPPER.readTree(request.messagesJson()));
			return MAPPER.writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new UpstreamException(RunState.NOT_RUN, "messages are not JSON: " + ex.getOriginalMessage());
		}
	}

	@Override
	public CompletableFuture<Void> cancel(Upstream upstream, String streamId) {
		ObjectNode body = MAPPER.createObjectNode().put("streamId", streamId);
		return command(upstream, "/v1/cancel", body, COMMAND_TIMEOUT_MS).thenAccept((answer) -> {
			Stream stream = this.streams.get(streamId);
			if (stream != null) {
				stream.end(new UpstreamException(RunState.UNKNOWN, "stream " + streamId + " was cancelled"));
			}
		});
	}

	@Override
	public CompletableFuture<Void> release(Upstream upstream, ProgramId program) {
		ObjectNode body = MAPPER.createObjectNode().put("program", program.toString());
		return command(upstream, "/v1/release", body, COMMAND_TIMEOUT_MS).thenAccept((answer) -> {
		});
	}

	@Override
	public CompletableFuture<Integer> copyCache(Upstream source, Upstream target, ProgramId program) {
		ObjectNode body = MAPPER.createObjectNode()
			.put("program", program.toString())
			.put("sourceHost", source.host())
			.put("sourcePort", source.port());
		return command(target, "/v1/import", body, COMMAND_TIMEOUT_MS)
			.thenApply((answer) -> answer.path("tokens").asInt());
	}

	@Override
	public CompletableFuture<Void> loadModel(Upstream upstream, String model, long fencingNumber, long timeoutMs) {
		ObjectNode body = MAPPER.createObjectNode().put("model", model).put("fencingNumber", fencingNumber);
		return command(upstream, "/v1/models/load", body, timeoutMs).thenAccept((answer) -> {
		});
	}

	private CompletableFuture<JsonNode> command(Upstream upstream, String path, ObjectNode body, long timeoutMs) {
		return this.http.exchange(upstream, HttpMethod.POST, path, Map.of(), body.toString(), timeoutMs)
			.thenApply((answer) -> acknowledged(upstream, path, answer));
	}

	private static JsonNode acknowledged(Upstream upstream, String path, ServiceResponse answer) {
		if (answer.status() / 100 != 2) {
			throw new UpstreamException(RunState.UNKNOWN,
					"upstream " + upstream.id() + " answered " + path + " with status " + answer.status());
		}
		try {
			return MAPPER.readTree(answer.body());
		}
		catch (JsonProcessingException ex) {
			throw new UpstreamException(RunState.RAN,
					"upstream " + upstream.id() + " answered " + path + " with a body that is not JSON");
		}
	}

	/**
	 * A stream that an engine is generating.
	 */
	private final class Stream {

		private final Upstream upstream;

		private final String streamId;

		private final TokenListener listener;

		private final CompletableFuture<EngineResult> result = new CompletableFuture<>();

		private final StringBuilder text = new StringBuilder();

		private @Nullable Disposable connection;

		private Stream(Upstream upstream, String streamId, TokenListener listener) {
			this.upstream = upstream;
			this.streamId = streamId;
			this.listener = listener;
		}

		private void accept(String data) {
			if (this.result.isDone()) {
				return;
			}
			try {
				JsonNode event = MAPPER.readTree(data);
				if (event.has("error")) {
					end(failure("reported: " + event.path("error").asText()));
				}
				else if (event.path("done").asBoolean()) {
					finish(event);
				}
				else {
					generated(event);
				}
			}
			catch (JsonProcessingException ex) {
				end(failure("sent an event that is not JSON"));
			}
		}

		private void generated(JsonNode event) {
			int offset = event.path("offset").asInt();
			if (offset != this.text.length()) {
				end(failure("sent offset " + offset + " after " + this.text.length() + " characters"));
				return;
			}
			String piece = event.path("text").asText();
			this.text.append(piece);
			this.listener.generated(offset, piece, event.path("tokens").asInt(1));
		}

		private void finish(JsonNode event) {
			forget();
			this.result.complete(new EngineResult(this.text.toString(), event.path("promptTokens").asInt(),
					event.path("cachedTokens").asInt(), event.path("generatedTokens").asInt()));
		}

		private void end(@Nullable UpstreamException failure) {
			if (this.result.isDone()) {
				return;
			}
			forget();
			if (this.connection != null) {
				this.connection.dispose();
			}
			this.result.completeExceptionally((failure != null) ? failure : failure("ended the stream early"));
		}

		private void forget() {
			HttpEngineClient.this.streams.remove(this.streamId, this);
		}

		private UpstreamException failure(String what) {
			return new UpstreamException(RunState.UNKNOWN, "upstream " + this.upstream.id() + " " + what);
		}

	}

}
