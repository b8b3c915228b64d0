package dev.nutmegdoor.node.operator;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import dev.nutmegdoor.node.control.ControlThread;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class OperatorServerTests {

	private final ControlThread control = new ControlThread("test-control");

	private final StateDump dump = new StateDump();

	private final MetricRegistry metrics = new MetricRegistry();

	private final OperatorServer server = new OperatorServer(
			new OperatorAuthenticator(
					List.of(new OperatorAccount("ann", OperatorAuthenticator.hash("read-token"), OperatorRole.READ),
							new OperatorAccount(
									"bob", OperatorAuthenticator.hash("change-token"), OperatorRole.CHANGE))),
			this.control, new ObjectMapper(),
			List.of(OperatorEndpoint.get("/operator/v1/dump",
					(request) -> CompletableFuture.completedFuture(this.dump.dump(request.query("part")))),
					OperatorEndpoint.post("/operator/v1/things/{id}",
							(request) -> CompletableFuture.completedFuture(Map.of("by", request.operator(), "id",
									request.path("id"), "body", request.body()))),
					new MetricsEndpoint(this.metrics).endpoint()));

	private int port;

	@BeforeEach
	void start() {
		this.port = this.server.start("127.0.0.1", 0);
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.control.close();
	}

	private String call(String method, String path, String token, String body) {
		HttpClient client = HttpClient.create()
			.headers((headers) -> headers.set("Authorization", "Bearer " + token))
			.baseUrl("http://127.0.0.1:" + this.port);
		HttpClient.ResponseReceiver<?> receiver = method.equals("GET") ? client.get().uri(path)
				: client.post().uri(path).send((request, out) -> out.sendString(Mono.just(body)));
		return receiver.responseSingle((response,
				content) -> content.asString().defaultIfEmpty("").map((text) -> response.status().code() + " " + text))
			.block();
	}

	// Guards against identifiers with reserved characters that are looked up encoded.
	@Test
	void decodesThePartsOfThePath() {
		assertThat(call("POST", "/operator/v1/things/i-1%7Ex%3A7", "change-token", ""),
				containsString("\"id\":\"i-1~x:7\""));
	}

	// Guards against an operator API that trusts its address.
	@Test
	void refusesAnUnknownToken() {
		assertThat(call("GET", "/operator/v1/dump", "wrong", ""), containsString("401"));
	}

	// Guards against an operator who may only read and changes something.
	@Test
	void refusesAChangeByAReader() {
		assertThat(call("POST", "/operator/v1/things/t1", "read-token", "{}"), containsString("403"));
	}

	// Guards against changes that are recorded without their author or content.
	@Test
	void passesOperatorPathAndBodyToTheHandler() {
		String answer = call("POST", "/operator/v1/things/t1", "change-token", "hello");
		assertThat(answer, containsString("\"by\":\"bob\""));
		assertThat(answer, containsString("\"id\":\"t1\""));
		assertThat(answer, containsString("\"body\":\"hello\""));
	}

	// Guards against a mistyped part that is answered with an empty state.
	@Test
	void reportsAnUnknownPartOfTheDump() {
		this.dump.register("limits", () -> Map.of("workspaces", 8));
		assertThat(call("GET", "/operator/v1/dump?part=limits", "read-token", ""),
				is("200 {\"limits\":{\"workspaces\":8}}"));
		assertThat(call("GET", "/operator/v1/dump?part=limit", "read-token", ""), containsString("404"));
	}

	// Guards against metrics that can't be read without a tool.
	@Test
	void servesMetricsAsLinesOfNameAndValue() {
		this.metrics.counter("requests.admitted").inc(3);
		assertThat(call("GET", "/operator/v1/metrics", "read-token", ""), is("200 requests.admitted.count 3\n"));
	}

}
