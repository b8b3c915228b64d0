package dev.nutmegdoor.experiment.load;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import dev.nutmegdoor.node.upstream.ServerSentEvents;

/**
 * HTTP client of callers; blocks the calling thread until the answer is complete.
 */
final class CallerClient implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String TYPE_PREFIX = "urn:nutmegdoor:problem:";

	/** Every request ends by then, whatever happens. */
	private static final Duration LIMIT = Duration.ofSeconds(60);

	private final ConnectionProvider connections = ConnectionProvider.builder("callers")
		.maxConnections(1_000)
		.pendingAcquireTimeout(Duration.ofSeconds(5))
		.maxIdleTime(Duration.ofSeconds(5))
		.build();

	private final HttpClient client = HttpClient.create(this.connections).disableRetry(true).keepAlive(true);

	private final LoadMetrics measures;

	private final int delayMs;

	CallerClient(LoadMetrics measures, int delayMs) {
		this.measures = measures;
		this.delayMs = delayMs;
	}

	CallOutcome send(InetSocketAddress address, CallerRequest request) {
		Answer answer = new Answer(request.isStream());
		try {
			Thread.sleep(this.delayMs);
			this.client.headers((fields) -> request.headers().forEach(fields::set))
				.request(HttpMethod.valueOf(request.method()))
				.uri("http://" + address.getAddress().getHostAddress() + ":" + address.getPort() + request.path())
				.send(ByteBufFlux.fromString(Mono.just(request.body())))
				.response((response, content) -> {
					answer.begin(response);
					return content.asByteArray().doOnNext(answer::accept);
				})
				.then()
				.block(LIMIT);
			Thread.sleep(this.delayMs);
			return answer.outcome(true);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return CallOutcome.failed();
		}
		catch (RuntimeException ex) {
			return answer.outcome(false);
		}
	}

	@Override
	public void close() {
		this.connections.dispose();
	}

	/**
	 * Collects an answer as it arrives.
	 */
	private final class Answer {

		private final boolean isStream;

		private final long sentNs = System.nanoTime();

		private final ServerSentEvents parser = new ServerSentEvents();

		private final StringBuilder text = new StringBuilder();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private JsonNode usage = MAPPER.createObjectNode();

		private JsonNode problem = MAPPER.createObjectNode();

		private int status;

		private boolean isEvents;

		private boolean isDone;

		private long lastTokenNs;

		private Answer(boolean isStream) {
			this.isStream = isStream;
		}

		private void begin(HttpClientResponse response) {
			this.status = response.status().code();
			String type = response.responseHeaders().get("Content-Type", "");
			this.isEvents = this.isStream && type.startsWith("text/event-stream");
		}

		private void accept(byte[] bytes) {
			if (!this.isEvents) {
				this.body.writeBytes(bytes);
				return;
			}
			this.parser.accept(bytes).forEach(this::acceptEvent);
		}

		private void acceptEvent(String data) {
			if (data.equals("[DONE]")) {
				this.isDone = true;
				return;
			}
			JsonNode event = parse(data);
			if (event.path("type").asText().startsWith(TYPE_PREFIX)) {
				this.problem = event;
				return;
			}
			if (event.has("usage")) {
				this.usage = event.path("usage");
			}
			JsonNode content = event.path("choices").path(0).path("delta").path("content");
			if (content.isTextual()) {
				this.text.append(content.textValue());
				long nowNs = System.nanoTime();
				if (this.lastTokenNs == 0) {
					CallerClient.this.measures.firstToken(nowNs - this.sentNs);
				}
				else {
					CallerClient.this.measures.betweenTokens(nowNs - this.lastTokenNs);
				}
				this.lastTokenNs = nowNs;
			}
		}

		private CallOutcome outcome(boolean isEnded) {
			if (this.status == 0) {
				return CallOutcome.failed();
			}
			if (this.isEvents) {
				boolean isWhole = isEnded && this.isDone;
				String name = problemName();
				if (!isWhole && name.isEmpty()) {
					return CallOutcome.failed();
				}
				return outcome(name, this.text.toString(), isWhole);
			}
			if (!isEnded) {
				return CallOutcome.failed();
			}
			String whole = this.body.toString(StandardCharsets.UTF_8);
			JsonNode node = parse(whole);
			if (node.path("type").asText().startsWith(TYPE_PREFIX)) {
				this.problem = node;
				return outcome(problemName(), "", true);
			}
			this.usage = node.path("usage");
			JsonNode content = node.path("choices").path(0).path("message").path("content");
			return outcome("", content.isTextual() ? content.textValue() : whole, true);
		}

		private CallOutcome outcome(String problemName, String answerText, boolean isComplete) {
			return new CallOutcome(this.status, problemName, this.problem.path("run").asText(),
					this.problem.path("retryAfterMs").asLong(), answerText, this.usage.path("prompt_tokens").asInt(),
					this.usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
					this.usage.path("completion_tokens").asInt(), isComplete);
		}

		private String problemName() {
			String type = this.problem.path("type").asText();
			return type.startsWith(TYPE_PREFIX) ? type.substring(TYPE_PREFIX.length()) : "";
		}

		private static JsonNode parse(String text) {
			try {
				return MAPPER.readTree(text.isEmpty() ? "{}" : text);
			}
			catch (JsonProcessingException ex) {
				return MAPPER.createObjectNode();
			}
		}

	}

}
