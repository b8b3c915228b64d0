package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests how a gateway delimits responses whose length the replica does not state.
 */
class GatewayResponseFramingTests extends GatewayEnvironment {

	private static final String EVENT = "id: 1\ndata: a\n\n";

	private void respondWithChunk(String afterChunk, boolean isConnectionClosed) {
		this.replica.respondWith((request, output) -> {
			ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
					+ "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + EVENT + "\r\n" + afterChunk);
			request.isConnectionClosed = isConnectionClosed;
		});
	}

	private Socket sendWithVersion(String version) throws IOException {
		Socket socket = new Socket(HOST, this.clientPort);
		socket.getOutputStream()
			.write(("POST /turn/a HTTP/" + version + "\r\nHost: h.example\r\nAttempt-Id: a-1\r\n" + KEY + "\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	// Guards against a stream that a replica broke off and that looks complete,
	// because the end of the connection ends a response without length and chunks.
	@Test
	void haveNoLastChunkWhenReplicaBreaksOff() throws Exception {
		respondWithChunk("", true);
		String response = exchange("/turn/a", KEY, "");
		assertThat(response.toLowerCase(Locale.ROOT), containsString("transfer-encoding: chunked"));
		assertThat(response, containsString("data: a"));
		assertThat(response, not(containsString("\r\n0\r\n")));
	}

	// Guards against the same in a response to a client that doesn't know chunks.
	@Test
	void endWithResetForOldClientsWhenReplicaBreaksOff() throws Exception {
		respondWithChunk("", true);
		try (Socket socket = sendWithVersion("1.0")) {
			StringBuilder response = new StringBuilder();
			AssertionError error = assertThrows(AssertionError.class,
					() -> receiveUntil(socket, response, "text after the break"));
			assertThat(error.getMessage(), containsString("reset"));
		}
	}

	// Guards against bytes after a response that has no body by definition, which a
	// client takes for its next response.
	@ParameterizedTest
	@CsvSource({ "POST, 204", "POST, 304", "HEAD, 200" })
	void haveNoChunksIfTheyHaveNoBody(String method, int status) throws Exception {
		this.replica.respondWith((request, output) -> ReplicaServer.write(output,
				"HTTP/1.1 " + status + " Status\r\nAttempt-Id: " + request.fields.get("attempt-id") + "\r\n\r\n"));
		try (Socket socket = new Socket(HOST, this.clientPort)) {
			StringBuilder response = new StringBuilder();
			for (int i = 1; i <= 2; i++) {
				socket.getOutputStream()
					.write((method + " /safe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b-" + i + "\r\n" + KEY
							+ "\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				receiveUntil(socket, response.delete(0, response.length()), "\r\n\r\n");
				assertThat(response.toString(), startsWith("HTTP/1.1 " + status));
				assertThat(response.toString(), containsString("Attempt-Id: b-" + i));
			}
			socket.getOutputStream().write("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes());
			StringBuilder next = new StringBuilder();
			receiveUntil(socket, next, "HTTP/1.1");
			assertThat(next.toString(), is("HTTP/1.1"));
		}
	}

	private void respondUndelimited(String body) {
		this.replica.respondWith((request, output) -> {
			writeUndelimited(request, output, body);
			request.isConnectionClosed = true;
		});
	}

	private void writeUndelimited(ReplicaServer.Request request, OutputStream output, String body) throws IOException {
		ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
				+ "\r\nContent-Type: text/event-stream\r\n\r\n" + body);
	}

	// Guards against a response that looks broken off although its replica ended it,
	// with neither a length nor chunks.
	@Test
	void areCompleteWhenReplicaEndsConnection() throws Exception {
		respondUndelimited(EVENT);
		assertThat(exchange("/turn/a", KEY, ""), endsWith("\r\n0\r\n\r\n"));
		assertThat(exchange("/safe/a", KEY, ""), endsWith("\r\n0\r\n\r\n"));
	}

	// Guards against a response that looks complete although it was reset on the way.
	@Test
	void haveNoLastChunkWhenReplicaResetsConnection() throws Exception {
		CompletableFuture<Void> eventReceived = new CompletableFuture<>();
		this.replica.respondWith((request, output) -> {
			writeUndelimited(request, output, EVENT);
			eventReceived.orTimeout(LIMIT_MS, TimeUnit.MILLISECONDS).join();
			request.isConnectionReset = true;
		});
		try (Socket socket = send("/turn/a", KEY, "")) {
			StringBuilder response = new StringBuilder();
			receiveUntil(socket, response, "data: a");
			eventReceived.complete(null);
			while (receive(socket, response, deadlineNs())) {
				continue;
			}
			assertThat(response.toString(), not(containsString("\r\n0\r\n")));
		}
	}

	// Guards against a stream that looks complete although it ended in the middle of
	// an event.
	@ParameterizedTest
	@ValueSource(strings = { "id: 2", "id: 2\n", "id: 2\ndata: b\n" })
	void haveNoLastChunkWhenStreamEndsInsideEvent(String part) throws Exception {
		respondUndelimited(EVENT + part);
		assertThat(exchange("/turn/a", KEY, ""), not(containsString("\r\n0\r\n")));
		respondWithChunk(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n0\r\n\r\n", false);
		assertThat(exchange("/turn/a", KEY, ""), not(containsString("\r\n0\r\n")));
	}

	// Guards against a complete response that looks broken off, and against one that
	// costs the client its connection.
	@Test
	void endAsReplicaEndsThem() throws Exception {
		respondWithChunk("0\r\n\r\n", false);
		try (Socket socket = sendWithVersion("1.1")) {
			receiveUntil(socket, new StringBuilder(), "\r\n0\r\n\r\n");
			socket.getOutputStream().write("GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes());
			receiveUntil(socket, new StringBuilder(), "HTTP/1.1 404");
		}
		try (Socket socket = sendWithVersion("1.0")) {
			StringBuilder response = new StringBuilder();
			receiveUntil(socket, response, EVENT);
			assertThat(receive(socket, response, deadlineNs()), is(false));
			assertThat(response.toString().toLowerCase(Locale.ROOT), not(containsString("transfer-encoding")));
		}
	}

}
