package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.BindException;
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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

import dev.nutmegdoor.core.conversation.FailureTolerance;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.placement.ColdTolerance;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Starts a gateway and a ledger replica as on the platform, with an upstream replica
 * whose responses the tests control.
 */
abstract class GatewayEnvironment {

	/** Field with the key of the only workspace. */
	static final String KEY = "Authorization: Bearer key-1\r\n";

	static final String HOST = InetAddress.getLoopbackAddress().getHostAddress();

	static final long LIMIT_MS = 20_000;

	static final long POLL_INTERVAL_NS = 10_000_000;

	static final int FIRST_PORT = 20_000;

	static final int LAST_PORT = 32_000;

	static final int MAX_PORT_TRIES = 100;

	/** Counts the ports from the first one; begins where other processes rarely do. */
	private static final AtomicInteger nextPort = new AtomicInteger(
			ThreadLocalRandom.current().nextInt(LAST_PORT - FIRST_PORT));

	final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@TempDir
	Path folder;

	PlatformStandin platform;

	ReplicaServer replica;

	GatewayNode gateway;

	LedgerNode ledger;

	int clientPort;

	int readinessPort;

	int controlPort;

	int nextAttempt;

	long graceMs = 8_000;

	/** Bound of evacuations, or {@code null} if the feature is off. */
	Long evacuationMs;

	/** Requests that cold replicas survive, or {@code null} if the feature is off. */
	ColdTolerance coldTolerance;

	@BeforeEach
	void start() throws Exception {
		this.platform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.replica = new ReplicaServer();
		putDeployment();
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.controlPort = freePort();
		ProcessSettings settings = settings("i-1", this.controlPort, freePort(), List.of());
		this.ledger = new LedgerNode(settings, 0, EventLog.NONE);
		this.ledger.start();
		this.gateway = new GatewayNode(settings, 0, EventLog.NONE);
		this.gateway.start();
		await(() -> readiness() == 200);
	}

	void putDeployment() throws Exception {
		put("servers", "r-1", """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST,
				this.replica.port()));
		put("config", "main",
				"""
						{"Version":1,"Limits":{"IdleTimeoutMs":60000},"Routes":[
						{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"s"},
						{"Name":"open","Host":"h.example","Prefix":"/open/","Kind":"safe","TimeoutMs":2000,"Service":"s","Public":true},
						{"Name":"slow","Host":"h.example","Prefix":"/slow/","Kind":"safe","TimeoutMs":9000,"Service":"s"},
						{"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"unsafe","TimeoutMs":2000,"Service":"s"},
						{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","Resumable":true,"TimeoutMs":3000,
						"RetainS":60,"Service":"s"}],
						"Services":[{"Name":"s","Engine":{"Stride":6}}],
						"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}""");
	}

	ProcessSettings settings(String name, int controlPort, int ledgerPort, List<InetSocketAddress> seeds) {
		return settings(name, controlPort, ledgerPort, seeds, this.platform.address(), 5_000);
	}

	ProcessSettings settings(String name, int controlPort, int ledgerPort, List<InetSocketAddress> seeds,
			InetSocketAddress store, long storeWaitMaxMs) {
		return new ProcessSettings(new InstanceId(name), new AvailabilityZone("a"), HOST,
				new InetSocketAddress(HOST, this.clientPort), new InetSocketAddress(HOST, this.readinessPort),
				new InetSocketAddress(HOST, controlPort), ledgerPort, ledgerPort, seeds, true, store, storeWaitMaxMs,
				this.folder, 256, this.graceMs, 2_000, 2_000, 0, tolerance(), this.evacuationMs, this.coldTolerance,
				false);
	}

	FailureTolerance tolerance() {
		return FailureTolerance.DEFAULT;
	}

	@AfterEach
	void stop() throws IOException {
		this.gateway.stop();
		this.ledger.stop();
		this.platform.close();
		this.replica.close();
	}

	// Below the ports that the system gives to outgoing connections, which could take a
	// port between this check and its use. A port is returned once, because it is free
	// until its server starts.
	static int freePort() throws IOException {
		for (int i = 0; i < MAX_PORT_TRIES; i++) {
			int port = FIRST_PORT + Math.floorMod(nextPort.getAndIncrement(), LAST_PORT - FIRST_PORT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				continue;
			}
		}
		throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
	}

	void put(String kind, String name, String spec) throws Exception {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.putObject("Meta").put("Name", name);
		body.set("Spec", new ObjectMapper().readTree(spec));
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + HOST + ":" + this.platform.address().getPort() + "/objects/" + kind))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.POST(HttpRequest.BodyPublishers.ofString(body.toString()))
			.build();
		assertThat(this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode(), is(200));
	}

	void remove(String kind, String name) throws Exception {
		HttpRequest request = HttpRequest
			.newBuilder(URI
				.create("http://" + HOST + ":" + this.platform.address().getPort() + "/objects/" + kind + "/" + name))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.DELETE()
			.build();
		assertThat(this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode(), is(200));
	}

	/** Copies the objects of a kind to the platform that is used now. */
	void copy(PlatformStandin from, String kind) throws Exception {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + HOST + ":" + from.address().getPort() + "/objects/" + kind))
			.build();
		JsonNode page = new ObjectMapper()
			.readTree(this.client.send(request, HttpResponse.BodyHandlers.ofString()).body());
		for (JsonNode item : page.get("items")) {
			put(kind, item.get("Meta").get("Name").asText(), item.get("Spec").toString());
		}
	}

	int readiness() throws Exception {
		return observe("/readyz").statusCode();
	}

	String dump() throws Exception {
		return observe("/dump").body();
	}

	HttpResponse<String> observe(String path) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + this.readinessPort + path))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	static void await(Condition condition) throws Exception {
		long deadlineNs = deadlineNs();
		while (!condition.isMet()) {
			assertThat("condition is met in time", System.nanoTime() < deadlineNs);
			LockSupport.parkNanos(POLL_INTERVAL_NS);
		}
	}

	/**
	 * Sends a request with raw header fields, some of which java.net.http does not allow.
	 */
	Socket send(String path, String fields, String body) throws IOException {
		Socket socket = new Socket(HOST, this.clientPort);
		String text = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-" + this.nextAttempt++
				+ "\r\nContent-Length: " + body.length() + "\r\n" + fields + "\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
		return socket;
	}

	String exchange(String path, String fields, String body) throws IOException {
		try (Socket socket = send(path, "Connection: close\r\n" + fields, body)) {
			StringBuilder received = new StringBuilder();
			long deadlineNs = deadlineNs();
			while (receive(socket, received, deadlineNs)) {
				continue;
			}
			return received.toString();
		}
	}

	/**
	 * Receives up to and including a text. Fails with the text received so far if the
	 * stream ends or the time limit is exceeded before.
	 */
	static void receiveUntil(Socket socket, StringBuilder received, String text) {
		long deadlineNs = deadlineNs();
		while (received.indexOf(text) < 0) {
			if (!receive(socket, received, deadlineNs)) {
				throw new AssertionError(
						"the stream ended before \"" + text + "\", received so far: <" + received + ">");
			}
		}
	}

	/**
	 * Receives one character and appends it.
	 * @return {@code false} at the end of the stream
	 */
	static boolean receive(Socket socket, StringBuilder received, long deadlineNs) {
		try {
			long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
			if (remainingMs <= 0) {
				throw new SocketTimeoutException("the test exceeded its time limit");
			}
			socket.setSoTimeout((int) remainingMs);
			int next = socket.getInputStream().read();
			if (next >= 0) {
				received.append((char) next);
			}
			return next >= 0;
		}
		catch (IOException ex) {
			throw new AssertionError(ex + ", received so far: <" + received + ">", ex);
		}
	}

	static long deadlineNs() {
		return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS);
	}

	@FunctionalInterface
	interface Condition {

		boolean isMet() throws Exception;

	}

}
