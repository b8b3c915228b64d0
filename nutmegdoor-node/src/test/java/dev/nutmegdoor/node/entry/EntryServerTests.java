package dev.nutmegdoor.node.entry;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.call.Repeatability;
import dev.nutmegdoor.core.call.ServiceCall;
import dev.nutmegdoor.core.configuration.CallerKey;
import dev.nutmegdoor.core.configuration.Configuration;
import dev.nutmegdoor.core.configuration.ProgramBudget;
import dev.nutmegdoor.core.configuration.ServiceOperation;
import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.configuration.Workspace;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.explain.DecisionIds;
import dev.nutmegdoor.core.explain.DecisionRecorder;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.KeyId;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.invariant.Invariant;
import dev.nutmegdoor.core.invariant.InvariantRegistry;
import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.node.EntryNode;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.direct.ConfiguredKeyAuthenticator;
import dev.nutmegdoor.node.direct.LocalPrograms;
import dev.nutmegdoor.node.direct.StaticConfigurationView;
import dev.nutmegdoor.node.settings.EntrySettings;
import dev.nutmegdoor.node.settings.LimitSettings;
import dev.nutmegdoor.node.settings.ListenSettings;
import dev.nutmegdoor.node.settings.TimeoutSettings;
import dev.nutmegdoor.node.upstream.KeyScanner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

class EntryServerTests {

	private static final String KEY = "nd_k1_secret";

	private static final String STREAMED_CHAT_BODY = """
			{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}""";

	private final InvariantRegistry invariants = new InvariantRegistry();

	private final ControlThread control = new ControlThread("control-test");

	private final RecordingRunner runner = new RecordingRunner();

	private final HttpClient client = HttpClient.newHttpClient();

	private ConfiguredKeyAuthenticator authenticator;

	private EntryNode node;

	private String origin;

	private volatile boolean isAdmitting = true;

	@BeforeEach
	void start() {
		WorkspaceId workspace = new WorkspaceId("w1");
		KeyId key = new KeyId("k1");
		UpstreamId engine = new UpstreamId("e1");
		Configuration configuration = new Configuration(1,
				Map.of(workspace, new Workspace(workspace, 1, 3, 1, Map.of(), ProgramBudget.DEFAULT)),
				Map.of(key, new CallerKey(key, workspace, ConfiguredKeyAuthenticator.hash(KEY))), Map.of(),
				Map.of("orders/book", new ServiceOperation("orders", "book", Repeatability.AT_MOST_ONCE, false)),
				Map.of(engine, new Upstream(engine, UpstreamKind.MODEL_ENGINE, new AvailabilityZone("a"), "127.0.0.1",
						1, List.of("m"), 1, true, false)));
		EntrySettings settings = new EntrySettings(new InstanceId("i1"), new AvailabilityZone("a"),
				new ListenSettings("127.0.0.1", 0), new LimitSettings(2_000, 2_000, 10_000, 1_000, 100),
				new TimeoutSettings(60_000, 10_000, 60_000, 0, 30_000, 1_000), 1, 1, configuration, null);
		StaticConfigurationView view = new StaticConfigurationView(configuration, this.invariants);
		this.authenticator = new ConfiguredKeyAuthenticator(view);
		LocalPrograms programs = new LocalPrograms(this.runner, view, settings.availabilityZone(), null, this.control,
				this.invariants, (id) -> {
				});
		this.node = new EntryNode(settings,
				new EntryDependencies(this.control, view, this.authenticator, new KeyScanner(this.authenticator),
						(id) -> CompletableFuture
							.completedFuture(new Admission(this.isAdmitting, this.isAdmitting ? 0 : 1_500, 2, "rule")),
						programs, programs, new DecisionIds(settings.instance()), DecisionRecorder.NONE,
						this.invariants, new MetricRegistry(), EventLog.NONE),
				() -> CompletableFuture.completedFuture(null), () -> {
				});
		InetSocketAddress address = this.node.start();
		this.origin = "http://127.0.0.1:" + address.getPort();
	}

	@AfterEach
	void stop() {
		this.node.stop();
		this.control.close();
	}

	private HttpRequest.Builder request(String path, String body) {
		return HttpRequest.newBuilder(URI.create(this.origin + path))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer " + KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body));
	}

	private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
		return this.client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	// Guards against a stream with lost or reordered text, or without an end marker.
	@Test
	void streamsTextInOrderUpToEndMarker() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/chat/completions", STREAMED_CHAT_BODY));
		RecordingRunner.Call call = this.runner.next();
		this.control.execute(() -> {
			call.listener().generated(0, "habari ");
			call.listener().generated(7, "yako");
			call.complete("habari yako");
		});
		String body = response.get(30, TimeUnit.SECONDS).body();
		assertThat(body, containsString("id: 7\n"));
		assertThat(body.indexOf("habari "), is(not(-1)));
		assertThat(body.indexOf("yako") > body.indexOf("habari "), is(true));
		assertThat(body, endsWith("data: [DONE]\n\n"));
		assertThat(response.get().headers().firstValue("Nutmegdoor-Decision").orElse(""), startsWith("i1:"));
	}

	// Guards against a resumed stream that repeats text which the client has already
	// received.
	@Test
	void resumesStreamAfterLastEventReceivedByClient() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/chat/completions", STREAMED_CHAT_BODY).header("Last-Event-ID", "7"));
		RecordingRunner.Call call = this.runner.next();
		this.control.execute(() -> {
			call.listener().generated(0, "habari yako");
			call.complete("habari yako");
		});
		assertThat(response.get(30, TimeUnit.SECONDS).body(), containsString("\"content\":\"yako\""));
	}

	// Guards against text that is lost between engine and client while the stream appears
	// complete to the client.
	@Test
	void endsStreamWithErrorWhenTextChunkIsMissing() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/chat/completions", STREAMED_CHAT_BODY));
		RecordingRunner.Call call = this.runner.next();
		this.control.execute(() -> {
			call.listener().generated(0, "habari ");
			call.listener().generated(9, "ko");
		});
		String body = response.get(30, TimeUnit.SECONDS).body();
		assertThat(body, containsString("event: error\ndata: {\"type\":\"urn:nutmegdoor:problem:internal\""));
		assertThat(body, not(containsString("[DONE]")));
		assertThat(this.invariants.violated(Invariant.ANSWER_MATCH), is(1L));
	}

	// Guards against a client that continues to receive a stream after its key has been
	// withdrawn.
	@Test
	void endsRunningStreamAndRejectsNewCallsOfWithdrawnKey() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/chat/completions", STREAMED_CHAT_BODY));
		RecordingRunner.Call call = this.runner.next();
		this.control.execute(() -> call.listener().generated(0, "habari"));
		this.authenticator.withdraw(new KeyId("k1"));
		String body = response.get(30, TimeUnit.SECONDS).body();
		assertThat(body, containsString("urn:nutmegdoor:problem:key-withdrawn"));
		assertThat(body, not(containsString("[DONE]")));
		assertThat(send(request("/v1/chat/completions", STREAMED_CHAT_BODY)).statusCode(), is(401));
		assertThat(this.runner.remaining(), is(List.of()));
	}

	// Guards against a key that is disclosed to an upstream in the query, in a header or
	// in an escaped body.
	@Test
	void rejectsKeyOutsideAuthorizationHeader() throws Exception {
		String escaped = "{\"note\":\"\\u006ed_k1_secret\"}";
		HttpResponse<String> inBody = send(
				request("/v1/services/orders/book", escaped).header("Idempotency-Key", "b1"));
		assertThat(inBody.statusCode(), is(400));
		assertThat(inBody.body(), containsString("\"run\":\"not_run\""));
		assertThat(
				send(request("/v1/services/orders/book?k=" + KEY, "{}").header("Idempotency-Key", "b1")).statusCode(),
				is(400));
		assertThat(send(request("/v1/services/orders/book", "{}").header("Idempotency-Key", KEY)).statusCode(),
				is(400));
		assertThat(this.runner.remaining(), is(List.of()));
	}

	// Guards against repeated execution of an at-most-once operation, because its calls
	// have no key by which a repetition is detected.
	@Test
	void rejectsAtMostOnceCallWithoutIdempotencyKey() throws Exception {
		assertThat(send(request("/v1/services/orders/book", "{}")).statusCode(), is(400));
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/services/orders/book", "{\"load\":1}").header("Idempotency-Key", "b1"));
		RecordingRunner.Call call = this.runner.next();
		assertThat(call.request().payload(), is(new ServiceCall("orders", "book", "{\"load\":1}", "b1")));
		this.control.execute(() -> call.complete("{\"ok\":true}"));
		assertThat(response.get(30, TimeUnit.SECONDS).body(), is("{\"ok\":true}"));
	}

	// Guards against memory exhaustion by a chunked body, whose length is not declared.
	@Test
	void rejectsChunkedBodyThatExceedsMaximumSize() throws Exception {
		byte[] body = ("{\"a\":\"" + "a".repeat(5_000) + "\"}").getBytes(StandardCharsets.UTF_8);
		HttpRequest.Builder chunked = request("/v1/chat/completions", "")
			.POST(HttpRequest.BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(body)));
		HttpResponse<String> response = send(chunked);
		assertThat(response.statusCode(), is(413));
		assertThat(response.headers().firstValue("Nutmegdoor-Decision").isPresent(), is(true));
	}

	// Guards against a rate-limited client that retries too early, because the response
	// does not say how long to wait.
	@Test
	void returnsRetryAfterForRateLimitedRequest() throws Exception {
		this.isAdmitting = false;
		HttpResponse<String> response = send(request("/v1/chat/completions", STREAMED_CHAT_BODY));
		assertThat(response.statusCode(), is(429));
		assertThat(response.headers().firstValue("Retry-After").orElse(""), is("2"));
		assertThat(response.headers().firstValue("RateLimit-Limit").orElse(""), is("3"));
		assertThat(response.headers().firstValue("Content-Type").orElse(""), is("application/problem+json"));
		assertThat(response.body(), containsString("\"type\":\"urn:nutmegdoor:problem:rate-limited\""));
	}

	// Guards against a shutdown that interrupts a running stream or still accepts new
	// requests.
	@Test
	void completesRunningStreamBeforeStopping() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(
				request("/v1/chat/completions", STREAMED_CHAT_BODY));
		RecordingRunner.Call call = this.runner.next();
		CompletableFuture<Boolean> drain = CompletableFuture.supplyAsync(() -> {
			try {
				return this.node.drain();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
		int status = 0;
		for (int i = 0; i < 10_000 && status != 503; i++) {
			status = send(HttpRequest.newBuilder(URI.create(this.origin + "/readyz"))).statusCode();
		}
		assertThat(status, is(503));
		for (int i = 0; i < 10_000 && this.node.state() != InstanceState.DRAINING; i++) {
			Thread.onSpinWait();
		}
		assertThat(send(request("/v1/chat/completions", STREAMED_CHAT_BODY)).body(),
				containsString("problem:draining"));
		assertThat(drain.isDone(), is(false));
		this.control.execute(() -> call.complete("habari"));
		assertThat(response.get(30, TimeUnit.SECONDS).body(), endsWith("data: [DONE]\n\n"));
		assertThat(drain.get(30, TimeUnit.SECONDS), is(true));
		assertThat(this.invariants.violated(Invariant.GRACEFUL_SHUTDOWN), is(0L));
	}

}
