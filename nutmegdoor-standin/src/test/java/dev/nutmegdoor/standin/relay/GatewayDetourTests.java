package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.platform.ProcessSettings;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/**
 * A gateway that reaches no replica beside one that reaches them all. The partitioned one
 * has a platform of its own, which lists the replicas at addresses that don't work.
 */
class GatewayDetourTests extends GatewayEnvironment {

	private static final int REPLICAS = 3;

	private static final int REQUESTS = 12;

	private static final String TURN_FIELDS = KEY + "Token-Usage: 10,60\r\nDeadline-Ms: 3000\r\n";

	private final List<ServerSocket> unreachableSockets = new ArrayList<>();

	private final List<Socket> backlog = new ArrayList<>();

	private PlatformStandin otherPlatform;

	private final List<GatewayNode> partitionedNeighbours = new ArrayList<>();

	private GatewayNode partitioned;

	@BeforeEach
	void listReplicas() throws Exception {
		for (int i = 2; i <= REPLICAS; i++) {
			put("servers", "r-" + i, entryAt(this.replica.port()));
		}
		await(() -> dump().contains("replicas=" + REPLICAS));
	}

	private static String entryAt(int port) {
		return """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST, port);
	}

	private void startPartitionedGateway(Partition partition) throws Exception {
		PlatformStandin workingPlatform = this.platform;
		this.otherPlatform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.platform = this.otherPlatform;
		for (int i = 1; i <= REPLICAS; i++) {
			put("servers", "r-" + i, entryAt(partition.openPort(this)));
		}
		copy(workingPlatform, "config");
		copy(workingPlatform, "gateways");
		copy(workingPlatform, LedgerNode.REGISTRY_KIND);
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.partitioned = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()), 0, EventLog.NONE);
		this.platform = workingPlatform;
		this.partitioned.start();
		await(() -> readiness() == 200 && dump().contains("replicas=" + REPLICAS) && dump().contains("gateways=2"));
	}

	// The working gateway is in zone a, all of zone b is partitioned.
	private void startPartitionedZone(Partition partition, int neighbours) throws Exception {
		PlatformStandin workingPlatform = this.platform;
		this.otherPlatform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.platform = this.otherPlatform;
		for (int i = 1; i <= REPLICAS; i++) {
			put("servers", "r-" + i, entryAt(partition.openPort(this)));
		}
		copy(workingPlatform, "config");
		copy(workingPlatform, "gateways");
		copy(workingPlatform, LedgerNode.REGISTRY_KIND);
		for (int i = 0; i <= neighbours; i++) {
			this.clientPort = freePort();
			this.readinessPort = freePort();
			GatewayNode node = new GatewayNode(settingsInZoneB("i-" + (2 + neighbours - i)), 0, EventLog.NONE);
			if (i < neighbours) {
				this.partitionedNeighbours.add(node);
			}
			else {
				this.partitioned = node;
			}
			node.start();
			await(() -> readiness() == 200 && dump().contains("replicas=" + REPLICAS));
		}
		this.platform = workingPlatform;
		await(() -> dump().contains("gateways=" + (2 + neighbours)));
	}

	private ProcessSettings settingsInZoneB(String name) throws IOException {
		return new ProcessSettings(new InstanceId(name), new AvailabilityZone("b"), HOST,
				new InetSocketAddress(HOST, this.clientPort), new InetSocketAddress(HOST, this.readinessPort),
				new InetSocketAddress(HOST, freePort()), freePort(), freePort(), List.of(), true,
				this.platform.address(), 5_000, this.folder, 256, this.graceMs, 2_000, 2_000, 0, tolerance(), null,
				null, false);
	}

	@AfterEach
	void stopPartitionedGateway() throws IOException {
		if (this.partitioned != null) {
			this.partitioned.stop();
			for (GatewayNode neighbour : this.partitionedNeighbours) {
				neighbour.stop();
			}
			this.otherPlatform.close();
		}
		for (Socket socket : this.backlog) {
			socket.close();
		}
		for (ServerSocket socket : this.unreachableSockets) {
			socket.close();
		}
	}

	@Nested
	class Requests {

		// Guards against callers of a partitioned gateway that are refused although other
		// gateways reach the replicas, and against requests that run twice on the way.
		@ParameterizedTest
		@EnumSource
		void areServedOnceThroughOtherGateway(Partition partition) throws Exception {
			startPartitionedGateway(partition);
			GatewayDetourTests.this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
			for (String path : List.of("/safe/a", "/once/a")) {
				for (int i = 0; i < REQUESTS; i++) {
					String response = exchange(path, KEY, "request");
					assertThat(response, startsWith("HTTP/1.1 200"));
					assertThat(response, endsWith("whole"));
				}
			}
			assertThat(GatewayDetourTests.this.replica.requestCount(), is(2 * REQUESTS));
		}

		// Guards against a replica that is granted more time than the caller has left.
		@Test
		void tellReplicaNoMoreTimeThanIsLeft() throws Exception {
			startPartitionedGateway(Partition.HANG);
			List<Long> deadlinesMs = new ArrayList<>();
			GatewayDetourTests.this.replica.respondWith((request, output) -> {
				synchronized (deadlinesMs) {
					deadlinesMs.add(Long.parseLong(request.fields.get("deadline-ms")));
				}
				ReplicaServer.fixedResponse(200, "", "whole").respond(request, output);
			});
			assertThat(exchange("/safe/a", KEY + "Deadline-Ms: 1500\r\n", ""), startsWith("HTTP/1.1 200"));
			// The connection attempt that hangs takes 250 ms.
			assertThat(deadlinesMs.get(0), lessThanOrEqualTo(1_250L));
		}

		// Guards against gateways that pass a request on to each other without end, and
		// against a caller that is told something other than that it has not run.
		@Test
		void areRefusedAsNotRunWhenNoGatewayReachesReplicas() throws Exception {
			startPartitionedGateway(Partition.REFUSE);
			GatewayDetourTests.this.replica.crash();
			String response = exchange("/once/a", KEY, "request");
			assertThat(response, startsWith("HTTP/1.1 503"));
			assertThat(GatewayDetourTests.this.replica.requestCount(), is(0));
		}

		// Guards against a replica that works on for a caller who has left.
		@Test
		void endAtReplicaWhenCallerLeaves() throws Exception {
			startPartitionedGateway(Partition.REFUSE);
			GatewayDetourTests.this.replica.respondWith((request, output) -> request.isCloseAwaited = true);
			try (Socket socket = send("/slow/a", KEY, "")) {
				await(() -> GatewayDetourTests.this.replica.requestCount() == 1);
			}
			await(() -> GatewayDetourTests.this.replica.closedAttempts.size() == 1);
		}

	}

	@Nested
	class PartitionedZones {

		// Guards against gateways of a zone that is cut off as a whole and ask only each
		// other.
		@ParameterizedTest
		@CsvSource({ "REFUSE, 2", "REFUSE, 5", "HANG, 1", "HANG, 2", "HANG, 5" })
		void areServedThroughOtherZone(Partition partition, int neighbours) throws Exception {
			startPartitionedZone(partition, neighbours);
			GatewayDetourTests.this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
			List<String> statuses = new ArrayList<>();
			List<Long> elapsedMs = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				long startNs = System.nanoTime();
				statuses.add(exchange("/safe/a", KEY, "request").substring("HTTP/1.1 ".length(), 12));
				elapsedMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
			}
			assertThat(statuses + " after " + elapsedMs + " ms",
					statuses.subList(REQUESTS / 2, REQUESTS).stream().allMatch("200"::equals));
		}

		// Guards against a gateway that forgets the only way to the replicas because one
		// replica is down.
		@Test
		void areServedThroughOtherZoneBesideReplicaThatIsDown() throws Exception {
			put("servers", "r-4", entryAt(freePort()));
			startPartitionedZone(Partition.REFUSE, 3);
			PlatformStandin workingPlatform = GatewayDetourTests.this.platform;
			GatewayDetourTests.this.platform = GatewayDetourTests.this.otherPlatform;
			put("servers", "r-4", entryAt(freePort()));
			GatewayDetourTests.this.platform = workingPlatform;
			await(() -> dump().contains("replicas=4"));
			GatewayDetourTests.this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
			List<String> statuses = new ArrayList<>();
			for (int i = 0; i < 4 * REQUESTS; i++) {
				statuses.add(exchange("/safe/a", KEY, "request").substring("HTTP/1.1 ".length(), 12));
			}
			long served = statuses.stream().filter("200"::equals).count();
			assertThat(statuses.toString(), served, greaterThan(2L * 4 * REQUESTS / 3));
		}

	}

	@Nested
	class PartitionedServices {

		// Guards against requests that are refused because the replicas of another
		// service answer, although other gateways reach those of their own.
		@ParameterizedTest
		@EnumSource
		void areServedThroughOtherGateway(Partition partition) throws Exception {
			startPartitionedGateway(partition);
			GatewayDetourTests.this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
			PlatformStandin workingPlatform = GatewayDetourTests.this.platform;
			GatewayDetourTests.this.platform = GatewayDetourTests.this.otherPlatform;
			put("servers", "t-1", entryAt(GatewayDetourTests.this.replica.port()).replace("\"s\"", "\"t\""));
			String body = """
					{"Meta":{"Name":"main"},"Spec":{"Version":2,"Limits":{"IdleTimeoutMs":60000},"Routes":[
					{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"Service":"s"},
					{"Name":"near","Host":"h.example","Prefix":"/near/","Kind":"safe","TimeoutMs":2000,"Service":"t"}],
					"Services":[{"Name":"s"},{"Name":"t"}],
					"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}}""";
			HttpRequest change = HttpRequest
				.newBuilder(URI.create("http://" + HOST + ":" + GatewayDetourTests.this.platform.address().getPort()
						+ "/objects/config/main"))
				.PUT(HttpRequest.BodyPublishers.ofString(body))
				.build();
			assertThat(GatewayDetourTests.this.client.send(change, HttpResponse.BodyHandlers.ofString()).statusCode(),
					is(200));
			GatewayDetourTests.this.platform = workingPlatform;
			await(() -> exchange("/near/a", KEY, "").startsWith("HTTP/1.1 200"));
			AtomicBoolean isEnded = new AtomicBoolean();
			Thread other = new Thread(() -> {
				try {
					while (!isEnded.get()) {
						exchange("/near/a", KEY, "");
						Thread.sleep(10);
					}
				}
				catch (IOException | InterruptedException ex) {
					return;
				}
			});
			other.start();
			List<String> statuses = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				statuses.add(exchange("/safe/a", KEY, "request").substring("HTTP/1.1 ".length(), 12));
			}
			isEnded.set(true);
			other.join();
			assertThat(statuses.toString(), statuses.subList(REQUESTS / 2, REQUESTS).stream().allMatch("200"::equals));
		}

	}

	@Nested
	class Answers {

		// Guards against events that are held back until a stream ends.
		@Test
		void arePassedOnAsTheyCome() throws Exception {
			startPartitionedGateway(Partition.REFUSE);
			CountDownLatch firstEventReceived = new CountDownLatch(1);
			GatewayDetourTests.this.replica.respondWith((request, output) -> {
				ReplicaServer.write(output,
						"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
								+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
								+ "11\r\nid: 1\ndata: one\n\n\r\n");
				awaitLatch(firstEventReceived);
				ReplicaServer.write(output, "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
			});
			try (Socket socket = send("/turn/a", TURN_FIELDS, "")) {
				StringBuilder received = new StringBuilder();
				receiveUntil(socket, received, "data: one\n\n");
				firstEventReceived.countDown();
				receiveUntil(socket, received, "\r\n0\r\n\r\n");
				assertThat(received.toString(), containsString("data: two\n\n"));
			}
		}

		// Guards against a part of an answer that looks whole because the gateway on the
		// way has died.
		@ParameterizedTest
		@ValueSource(strings = { "", "Transfer-Encoding: chunked\r\n" })
		void doNotLookCompleteWhenOtherGatewayEnds(String fields) throws Exception {
			startPartitionedGateway(Partition.REFUSE);
			CountDownLatch isEnded = new CountDownLatch(1);
			GatewayDetourTests.this.replica.respondWith((request, output) -> {
				ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
						+ "\r\n" + fields + "\r\n" + (fields.isEmpty() ? "part" : "4\r\npart\r\n"));
				awaitLatch(isEnded);
			});
			try (Socket socket = send("/safe/a", KEY, "")) {
				StringBuilder received = new StringBuilder();
				receiveUntil(socket, received, "part");
				GatewayDetourTests.this.gateway.stop();
				receiveUntilClosed(socket, received);
				assertThat(received.toString(), not(endsWith("0\r\n\r\n")));
				assertThat(received.toString(), containsString("chunked"));
			}
			finally {
				isEnded.countDown();
			}
		}

		private void receiveUntilClosed(Socket socket, StringBuilder received) {
			long deadlineNs = deadlineNs();
			try {
				while (receive(socket, received, deadlineNs)) {
					continue;
				}
			}
			catch (AssertionError ex) {
				assertThat(String.valueOf(ex.getCause()), not(containsString(SocketTimeoutException.class.getName())));
			}
		}

		private static void awaitLatch(CountDownLatch latch) throws IOException {
			try {
				latch.await(LIMIT_MS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
		}

	}

	/**
	 * How connections to replicas fail.
	 */
	enum Partition {

		REFUSE {

			@Override
			int openPort(GatewayDetourTests tests) throws IOException {
				return freePort();
			}

		},

		HANG {

			// The kernel drops the packets that open a connection while the backlog is
			// full.
			@Override
			int openPort(GatewayDetourTests tests) throws IOException {
				ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				tests.unreachableSockets.add(server);
				InetSocketAddress address = new InetSocketAddress(HOST, server.getLocalPort());
				while (true) {
					Socket socket = new Socket();
					tests.backlog.add(socket);
					try {
						socket.connect(address, 200);
					}
					catch (SocketTimeoutException ex) {
						return server.getLocalPort();
					}
				}
			}

		};

		abstract int openPort(GatewayDetourTests tests) throws IOException;

	}

}
