package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.relay.GatewayNode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests how a gateway stops.
 */
class GatewayShutdownTests extends GatewayEnvironment {

	/** Grace period that leaves less than the timeout of a route after the notice. */
	private static final long LATE_GRACE_MS = 5_000;

	/** Grace period that a test does not wait for. */
	private static final long LONG_GRACE_MS = 60_000;

	/** Grace period that ends before a stream must. */
	private static final long SHORT_GRACE_MS = 3_000;

	private final CompletableFuture<Void> responseReleased = new CompletableFuture<>();

	@AfterEach
	void releaseResponse() {
		this.responseReleased.complete(null);
	}

	// Guards against requests that a graceful shutdown aborts, and against an
	// instance that is reported ready while it shuts down.
	@Test
	void completesRunningRequest() throws Exception {
		this.replica.respondWith(this::awaitRelease);
		Socket socket = send("/safe/a", KEY, "");
		await(() -> !this.replica.requests.isEmpty());
		CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
		await(() -> readiness() == 503);
		this.responseReleased.complete(null);
		StringBuilder response = new StringBuilder();
		long deadlineNs = deadlineNs();
		while (response.length() < 20 && receive(socket, response, deadlineNs)) {
			continue;
		}
		assertThat(response.toString(), containsString("200"));
		socket.close();
		assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
		// The selector closes the socket in its next iteration.
		await(() -> !isAccepting());
	}

	// Guards against clients that stay on the connections of an instance that stops,
	// because the fields of the replica's response replace those of the instance.
	@Test
	void endsConnectionAfterRelayedResponse() throws Exception {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "answer"));
		CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
		await(() -> readiness() == 503);
		try (Socket socket = send("/safe/a", KEY, "")) {
			StringBuilder response = new StringBuilder();
			receiveUntil(socket, response, "answer");
			assertThat(response.toString().toLowerCase(Locale.ROOT), containsString("connection: close"));
			assertThat(receive(socket, response, deadlineNs()), is(false));
		}
		assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
	}

	// Guards against requests that clients send late on connections that were idle
	// and that the instance can't answer any more.
	@Test
	void closesIdleConnectionsWhileRequestsRun() throws Exception {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "answer"));
		try (Socket idle = send("/open/a", "", "")) {
			receiveUntil(idle, new StringBuilder(), "answer");
			this.replica.respondWith(this::awaitRelease);
			try (Socket running = send("/slow/a", KEY, "")) {
				await(() -> this.replica.requestCount() == 2);
				CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
				assertThat(receive(idle, new StringBuilder(), deadlineNs()), is(false));
				this.responseReleased.complete(null);
				receiveUntil(running, new StringBuilder(), "late");
				assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
			}
		}
	}

	// Guards against an instance that waits for the end of the grace period, because
	// the client of a response that began before the stop keeps its connection.
	@Test
	void endsConnectionOfResponseThatBeganBefore() throws Exception {
		restartGateway(LONG_GRACE_MS);
		this.replica.respondWith((request, output) -> {
			ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
					+ "\r\nContent-Length: 8\r\n\r\npart");
			this.responseReleased.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
			ReplicaServer.write(output, "rest");
		});
		try (Socket running = send("/slow/a", KEY, ""); Socket idle = new Socket(HOST, this.clientPort)) {
			StringBuilder response = new StringBuilder();
			receiveUntil(running, response, "part");
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
			assertThat(receive(idle, new StringBuilder(), deadlineNs()), is(false));
			this.responseReleased.complete(null);
			receiveUntil(running, response, "rest");
			assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
		}
	}

	// Guards against work that is taken on although it may not end before the
	// instance does.
	@Test
	void rejectsLateRequestThatMayNotEndInTime() throws Exception {
		restartGateway(LATE_GRACE_MS);
		try (Socket late = new Socket(HOST, this.clientPort); Socket idle = new Socket(HOST, this.clientPort)) {
			write(late, "POST /once/a HTTP/1.1\r\n");
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
			assertThat(receive(idle, new StringBuilder(), deadlineNs()), is(false));
			write(late, "Host: h.example\r\nAttempt-Id: late\r\n" + KEY + "\r\n");
			StringBuilder response = new StringBuilder();
			receiveUntil(late, response, "\"run\":\"not_run\"");
			assertThat(response.toString(), containsString("HTTP/1.1 503"));
			assertThat(response.toString(), containsString("problem:draining"));
			assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(true));
		}
		assertThat(this.replica.requestCount(), is(0));
	}

	// Guards against requests that are cut without a response at the end of the grace
	// period, although the replica could have been told how much time there is.
	@Test
	void limitsTimeOfRequestToGracePeriod() throws Exception {
		restartGateway(SHORT_GRACE_MS);
		CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
		await(() -> readiness() == 503);
		try (Socket socket = send("/slow/a", KEY, "")) {
			StringBuilder response = new StringBuilder();
			receiveUntil(socket, response, "\"run\":");
			// Its time ends just when the remaining requests are interrupted.
			assertThat(response.toString(), either(containsString("HTTP/1.1 504")).or(containsString("HTTP/1.1 502")));
		}
		drained.get(LIMIT_MS, TimeUnit.MILLISECONDS);
		String deadlineMs = this.replica.requests.get(0).fields.get("deadline-ms");
		assertThat(Long.parseLong(deadlineMs), lessThan(SHORT_GRACE_MS));
	}

	// Guards against a client that gets no response to a request that still runs at
	// the end of the grace period.
	@Test
	void answersRequestThatItInterrupts() throws Exception {
		restartGateway(SHORT_GRACE_MS);
		try (Socket socket = send("/slow/a", KEY, "")) {
			await(() -> this.replica.requestCount() == 1);
			CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drain);
			StringBuilder response = new StringBuilder();
			receiveUntil(socket, response, "\"run\":\"unknown\"");
			assertThat(response.toString(), containsString("HTTP/1.1 502"));
			assertThat(drained.get(LIMIT_MS, TimeUnit.MILLISECONDS), is(false));
		}
	}

	private void restartGateway(long graceMs) throws Exception {
		this.gateway.stop();
		this.graceMs = graceMs;
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.gateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()), 0, EventLog.NONE);
		this.gateway.start();
		await(() -> readiness() == 200);
		this.replica.respondWith(this::awaitRelease);
	}

	private void awaitRelease(ReplicaServer.Request request, OutputStream output) throws IOException {
		this.responseReleased.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
		ReplicaServer.fixedResponse(200, "", "late").respond(request, output);
	}

	private static void write(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
	}

	private boolean isAccepting() {
		try (Socket socket = new Socket(HOST, this.clientPort)) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private boolean drain() {
		try {
			return this.gateway.drain();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
