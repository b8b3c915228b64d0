package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.standin.platform.PlatformFaultKind;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * A gateway and a ledger replica as they run on the platform, before a replica under
 * control of the test.
 */
class GatewayTests {

	private static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();

	private static final long LIMIT_MS = 20_000;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@TempDir
	private Path folder;

	private PlatformStandin platform;

	private ReplicaServer replica;

	private GatewayNode gateway;

	private LedgerNode ledger;

	private int frontPort;

	private int readyPort;

	private int controlPort;

	private int attempts;

	@BeforeEach
	void start() throws Exception {
		this.platform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.replica = new ReplicaServer();
		put("servers", "r-1", """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST,
				this.replica.port()));
		put("config", "main",
				"""
						{"Version":1,"Routes":[
						{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"s"},
						{"Name":"open","Host":"h.example","Prefix":"/open/","Kind":"safe","TimeoutMs":2000,"Service":"s","Public":true},
						{"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"unsafe","TimeoutMs":2000,"Service":"s"},
						{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","Resumable":true,"TimeoutMs":3000,
						"RetainS":60,"Service":"s"}],
						"Services":[{"Name":"s","Engine":{"Stride":6}}],
						"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}""");
		this.frontPort = freePort();
		this.readyPort = freePort();
		this.controlPort = freePort();
		ProcessSettings settings = settings("i-1", this.controlPort, freePort(), List.of());
		this.ledger = new LedgerNode(settings, 0, EventLog.NONE);
		this.ledger.start();
		this.gateway = new GatewayNode(settings, 0, EventLog.NONE);
		this.gateway.start();
		await(() -> readiness() == 200);
	}

	private ProcessSettings settings(String name, int controlPort, int ledgerPort, List<InetSocketAddress> seeds) {
		return new ProcessSettings(new InstanceId(name), new AvailabilityZone("a"), HOST,
				new InetSocketAddress(HOST, this.frontPort), new InetSocketAddress(HOST, this.readyPort),
				new InetSocketAddress(HOST, controlPort), ledgerPort, ledgerPort, seeds, true, this.platform.address(),
				5_000, this.folder, 256, 8_000, 2_000);
	}

	@AfterEach
	void stop() throws IOException {
		this.gateway.stop();
		this.ledger.stop();
		this.platform.close();
		this.replica.close();
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private void put(String kind, String name, String spec) throws Exception {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.putObject("Meta").put("Name", name);
		body.set("Spec", new com.fasterxml.jackson.databind.ObjectMapper().readTree(spec));
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + HOST + ":" + this.platform.address().getPort() + "/objects/" + kind))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.POST(HttpRequest.BodyPublishers.ofString(body.toString()))
			.build();
		assertThat(this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode(), is(200));
	}

	private int readiness() throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + this.readyPort + "/readyz"))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
	}

	private static void await(Condition condition) throws Exception {
		long limitNs = limitNs();
		while (!condition.isMet()) {
			assertThat("condition is met in time", System.nanoTime() < limitNs);
			Thread.onSpinWait();
		}
	}

	/**
	 * Sends a request with raw header fields, which java.net.http would refuse to set.
	 */
	private Socket send(String path, String fields, String body) throws IOException {
		Socket socket = new Socket(HOST, this.frontPort);
		String text = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-" + this.attempts++
				+ "\r\nContent-Length: " + body.length() + "\r\n" + fields + "\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
		return socket;
	}

	private String exchange(String path, String fields, String body) throws IOException {
		try (Socket socket = send(path, "Connection: close\r\n" + fields, body)) {
			StringBuilder seen = new StringBuilder();
			long limitNs = limitNs();
			while (receive(socket, seen, limitNs)) {
				continue;
			}
			return seen.toString();
		}
	}

	/**
	 * Receives up to and including a text, and fails with all that was received if the
	 * stream or the time ends before it.
	 */
	private static void receiveUntil(Socket socket, StringBuilder seen, String text) {
		long limitNs = limitNs();
		while (seen.indexOf(text) < 0) {
			if (!receive(socket, seen, limitNs)) {
				throw new AssertionError("the stream ended before \"" + text + "\", received so far: <" + seen + ">");
			}
		}
	}

	/**
	 * Receives one character.
	 * @return {@code false} at the end of the stream
	 */
	private static boolean receive(Socket socket, StringBuilder seen, long limitNs) {
		try {
			long leftMs = TimeUnit.NANOSECONDS.toMillis(limitNs - System.nanoTime());
			if (leftMs <= 0) {
				throw new SocketTimeoutException("the time limit of the test is over");
			}
			socket.setSoTimeout((int) leftMs);
			int next = socket.getInputStream().read();
			if (next >= 0) {
				seen.append((char) next);
			}
			return next >= 0;
		}
		catch (IOException ex) {
			throw new AssertionError(ex + ", received so far: <" + seen + ">", ex);
		}
	}

	private static long limitNs() {
		return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
	}

	@FunctionalInterface
	private interface Condition {

		boolean isMet() throws Exception;

	}

	@Nested
	class Requests {

		// Guards against a request or an answer that is changed on the way, and against a
		// key that reaches a replica.
		@Test
		void reachTheReplicaUnchangedButForTheKey() throws Exception {
			GatewayTests.this.replica.answer(ReplicaServer.whole(200, "Server-Seal: x.1\r\n", "answer"));
			String answer = exchange("/safe/a?b=c", "Authorization: Bearer key-1\r\nX-Own: 1\r\nTenant: other\r\n",
					"body");
			assertThat(answer, containsString("HTTP/1.1 200"));
			assertThat(answer, containsString("Server-Seal: x.1"));
			assertThat(answer.endsWith("answer"), is(true));
			ReplicaServer.Request seen = GatewayTests.this.replica.requests.get(0);
			assertThat(seen.line, is("POST /safe/a?b=c HTTP/1.1"));
			assertThat(seen.body, is("body"));
			assertThat(seen.fields.get("x-own"), is("1"));
			assertThat(seen.fields.get("authorization"), is(nullValue()));
			assertThat(seen.fields.get("tenant"), is("w"));
			assertThat(seen.fields.get("target-instance"), is("r-1"));
			assertThat(seen.fields.get("deadline-ms"), is(notNullValue()));
		}

		// Guards against requests that run without a key, with a wrong key or without a
		// route.
		@Test
		void areRefusedWithoutKeyOrRoute() throws Exception {
			assertThat(exchange("/safe/a", "", ""), containsString("HTTP/1.1 401"));
			assertThat(exchange("/safe/a", "Authorization: Bearer key-2\r\n", ""), containsString("HTTP/1.1 401"));
			assertThat(exchange("/none/", "Authorization: Bearer key-1\r\n", ""), containsString("HTTP/1.1 404"));
			assertThat(GatewayTests.this.replica.requests, hasSize(0));
			GatewayTests.this.replica.answer(ReplicaServer.whole(200, "", "open"));
			assertThat(exchange("/open/a", "", ""), containsString("HTTP/1.1 200"));
		}

		// Guards against a header that is passed on although the operators forbid its
		// size.
		@Test
		void areRefusedWithALargerHeaderThanTheConfigurationAllows() throws Exception {
			String field = "X-Own: " + "x".repeat(17_000) + "\r\n";
			assertThat(exchange("/open/a", field, ""), containsString("HTTP/1.1 431"));
			assertThat(GatewayTests.this.replica.requests, hasSize(0));
		}

		// Guards against a promise that a booking did not run which only the status made.
		@Test
		void areReportedNotRunOnlyIfTheReplicaReportsIt() throws Exception {
			GatewayTests.this.replica.answer(ReplicaServer.whole(503, "", "busy"));
			assertThat(exchange("/once/a", "Authorization: Bearer key-1\r\n", ""), containsString("HTTP/1.1 502"));
			GatewayTests.this.replica.answer(ReplicaServer.whole(503, "Not-Executed: 1\r\n", "busy"));
			String answer = exchange("/once/a", "Authorization: Bearer key-1\r\n", "");
			assertThat(answer, containsString("HTTP/1.1 503"));
			assertThat(answer, containsString("Retry-After: 0."));
		}

		// Guards against a part of an answer that looks whole.
		@Test
		void endWithoutACompleteAnswerIfTheReplicaBreaksOff() throws Exception {
			GatewayTests.this.replica.answer((request, output) -> {
				ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
						+ "\r\nContent-Length: 100\r\n\r\npart");
				request.isConnectionClosed = true;
			});
			String answer = exchange("/safe/a", "Authorization: Bearer key-1\r\n", "");
			assertThat(answer, containsString("Content-Length: 100"));
			assertThat(answer.endsWith("part"), is(true));
		}

	}

	@Nested
	class Streams {

		private static final String TURN = "Authorization: Bearer key-1\r\nProgram-Id: p\r\nToken-Budget: 12\r\n"
				+ "Token-Usage: 100,12\r\n";

		// Guards against events that are held back until the stream ends.
		@Test
		void areForwardedEventByEvent() throws Exception {
			CompletableFuture<Void> firstSeen = new CompletableFuture<>();
			GatewayTests.this.replica.answer((request, output) -> {
				ReplicaServer.write(output,
						"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
								+ "\r\nTransfer-Encoding: chunked\r\n\r\n"
								+ "f\r\nid: 1\ndata: a\n\n\r\n".replace("f\r\n", "f\r\n"));
				firstSeen.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
				ReplicaServer.write(output, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
			});
			try (Socket socket = send("/turn/a", TURN, "")) {
				StringBuilder seen = new StringBuilder();
				receiveUntil(socket, seen, "data: a");
				firstSeen.complete(null);
				receiveUntil(socket, seen, "data: b");
			}
			// Both events were counted: the budget holds no further turn.
			assertThat(exchange("/turn/a", TURN, ""), containsString("HTTP/1.1 402"));
		}

		// Guards against replicas that work on for clients that have gone.
		@Test
		void areStoppedAtTheReplicaWhenTheClientLeaves() throws Exception {
			GatewayTests.this.replica.answer((request, output) -> request.isLastAwaited = true);
			Socket socket = send("/turn/a", TURN, "");
			await(() -> !GatewayTests.this.replica.requests.isEmpty());
			socket.close();
			assertThat(GatewayTests.this.replica.closedAttempts.poll(LIMIT_MS, TimeUnit.MILLISECONDS),
					is(notNullValue()));
		}

	}

	@Nested
	class Shutdown {

		// Guards against requests that a planned stop cuts off, and against an instance
		// that is still called ready.
		@Test
		void finishesWhatItHasRead() throws Exception {
			CompletableFuture<Void> released = new CompletableFuture<>();
			GatewayTests.this.replica.answer((request, output) -> {
				released.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
				ReplicaServer.whole(200, "", "late").answer(request, output);
			});
			Socket socket = send("/safe/a", "Authorization: Bearer key-1\r\n", "");
			await(() -> !GatewayTests.this.replica.requests.isEmpty());
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
			await(() -> readiness() == 503);
			released.complete(null);
			StringBuilder answer = new StringBuilder();
			long limitNs = limitNs();
			while (answer.length() < 20 && receive(socket, answer, limitNs)) {
				continue;
			}
			assertThat(answer.toString(), containsString("200"));
			socket.close();
			assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
			// The selector closes the socket with its next round.
			await(() -> !isAccepting());
		}

		private boolean isAccepting() {
			try (Socket socket = new Socket(HOST, GatewayTests.this.frontPort)) {
				return socket.isConnected();
			}
			catch (IOException ex) {
				return false;
			}
		}

		private boolean drain() {
			try {
				return GatewayTests.this.gateway.drain();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

	@Nested
	class Outages {

		// Guards against a restarted instance that serves nothing until the platform's
		// store is back.
		@Test
		void ofTheStoreLeaveARestartedInstanceToLearnFromAnother() throws Exception {
			GatewayTests.this.platform.inject(PlatformFaultKind.OUTAGE, LIMIT_MS, 1, 0);
			int firstReady = GatewayTests.this.readyPort;
			GatewayTests.this.frontPort = freePort();
			GatewayTests.this.readyPort = freePort();
			ProcessSettings settings = settings("i-2", freePort(), freePort(),
					List.of(new InetSocketAddress(HOST, GatewayTests.this.controlPort),
							new InetSocketAddress(HOST, freePort())));
			GatewayNode second = new GatewayNode(settings, 0, EventLog.NONE);
			second.start();
			await(() -> readiness() == 200);
			GatewayTests.this.replica.answer(ReplicaServer.whole(200, "", "ok"));
			assertThat(exchange("/safe/a", "Authorization: Bearer key-1\r\n", ""), containsString("HTTP/1.1 200"));
			second.stop();
			GatewayTests.this.readyPort = firstReady;
		}

	}

	@Nested
	class Configurations {

		// Guards against a key that works on after the version that withdrew it.
		@Test
		void thatWithdrawAKeyAreInForceSoon() throws Exception {
			GatewayTests.this.replica.answer(ReplicaServer.whole(200, "", "ok"));
			assertThat(exchange("/safe/a", "Authorization: Bearer key-1\r\n", ""), containsString("HTTP/1.1 200"));
			String url = "http://" + HOST + ":" + GatewayTests.this.platform.address().getPort()
					+ "/objects/config/main";
			String body = """
					{"Meta":{"Name":"main"},"Spec":{"Version":2,"Routes":[
					{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"s"}],
					"Services":[{"Name":"s"}],"Tenants":[{"Name":"w","ApiKeys":["key-2"]}]}}""";
			GatewayTests.this.client.send(HttpRequest.newBuilder(URI.create(url))
				.timeout(Duration.ofMillis(LIMIT_MS))
				.PUT(HttpRequest.BodyPublishers.ofString(body))
				.build(), HttpResponse.BodyHandlers.discarding());
			await(() -> exchange("/safe/a", "Authorization: Bearer key-1\r\n", "").contains("HTTP/1.1 401"));
			assertThat(exchange("/safe/a", "Authorization: Bearer key-2\r\n", ""), not(containsString("401")));
		}

	}

}
