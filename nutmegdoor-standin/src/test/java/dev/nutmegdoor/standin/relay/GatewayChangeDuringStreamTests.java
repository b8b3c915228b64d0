package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.either;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests a gateway whose configuration or list of replicas changes while the answers of
 * streams are awaited or passed on.
 */
class GatewayChangeDuringStreamTests extends GatewayEnvironment {

	private static final long SEED = 42;

	private static final int CONNECTIONS = 12;

	private static final int STREAMS_PER_CONNECTION = 6;

	private static final int MAX_SENDS_PER_CONNECTION = 400;

	private static final long REFUSED_PAUSE_MS = 10;

	private static final int EVENTS = 8;

	private static final int MAX_CHANGE_PAUSE_MS = 40;

	private static final int MAX_FIRST_EVENT_MS = 60;

	private static final int MAX_EVENT_PAUSE_MS = 12;

	/** No stream meets its deadline, also if the machine is busy. */
	private static final long DEADLINE_MS = 15_000;

	private static final String BODY = StreamConnection.events(EVENTS);

	private static final String ROUTE = """
			{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","Resumable":true,"TimeoutMs":15000,
			"RetainS":60,"Service":"%s"}""";

	private static final String SERVICE = """
			{"Name":"%s","Engine":{"Stride":6}}""";

	private final AtomicInteger nextStream = new AtomicInteger();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private final Map<String, String> lostStreams = new TreeMap<>();

	private final AtomicBoolean areStreamsEnded = new AtomicBoolean();

	private ReplicaServer second;

	private int version = 1;

	@BeforeEach
	void startSecondReplica() throws Exception {
		this.second = new ReplicaServer();
		this.replica.respondWith(GatewayChangeDuringStreamTests::answer);
		this.second.respondWith(GatewayChangeDuringStreamTests::answer);
		putEntry("r-1", "s", this.replica, "ready");
		putEntry("r-2", "t", this.second, "ready");
		await(() -> dump().contains("replicas=2 "));
	}

	@AfterEach
	void stopSecondReplica() throws IOException {
		this.second.close();
	}

	private static void answer(ReplicaServer.Request request, OutputStream output) throws IOException {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP
			.create(SEED + request.fields.get("attempt-id").hashCode());
		pause(random.nextInt(MAX_FIRST_EVENT_MS));
		ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
				+ "\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int i = 1; i <= EVENTS; i++) {
			output.write(StreamConnection.chunk(StreamConnection.event(i)));
			pause(random.nextInt(MAX_EVENT_PAUSE_MS));
		}
		ReplicaServer.write(output, "0\r\n\r\n");
	}

	private static void pause(long ms) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
	}

	private void putConfiguration(long idleTimeoutMs, String routes, String services) {
		this.platform.put("config", "main", """
				{"Version":%d,"Limits":{"IdleTimeoutMs":%d},"Routes":[%s],"Services":[%s],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":100000,"Burst":100000}]}"""
			.formatted(++this.version, idleTimeoutMs, routes, services));
	}

	private void putEntry(String name, String service, ReplicaServer server, String state) {
		this.platform.put("servers", name, """
				{"Service":"%s","Addr":"%s:%d","Zone":"a","Slots":64,"State":"%s","Seq":2}""".formatted(service, HOST,
				server.port(), state));
	}

	private void removeEntry(String name) throws Exception {
		HttpRequest request = HttpRequest
			.newBuilder(
					URI.create("http://" + HOST + ":" + this.platform.address().getPort() + "/objects/servers/" + name))
			.timeout(Duration.ofMillis(LIMIT_MS))
			.DELETE()
			.build();
		int status = this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
		assertThat(status, is(either(is(200)).or(is(404))));
	}

	private boolean isReceived(String attempt) {
		return this.replica.hasRequest(attempt) || this.second.hasRequest(attempt);
	}

	// A stream that no replica has received may be refused, or meet a connection that is
	// closed because it was idle.
	private void record(String attempt, String outcome) {
		boolean isLost = !outcome.equals(StreamConnection.WHOLE)
				&& (isReceived(attempt) || !(outcome.equals(StreamConnection.CLOSED) || outcome.equals("404")
						|| outcome.equals("503") || outcome.equals("504")));
		synchronized (this.outcomes) {
			this.outcomes.merge(outcome, 1, Integer::sum);
			if (isLost) {
				this.lostStreams.put(attempt, outcome);
			}
		}
	}

	private Void sendStreams(int streamsAtOnce) throws IOException {
		StreamConnection connection = new StreamConnection(HOST, this.clientPort);
		try {
			int whole = 0;
			for (int i = 0; i < MAX_SENDS_PER_CONNECTION && whole < STREAMS_PER_CONNECTION; i++) {
				if (!connection.isOpen()) {
					connection.close();
					connection = new StreamConnection(HOST, this.clientPort);
				}
				List<String> attempts = new ArrayList<>();
				for (int j = 0; j < streamsAtOnce; j++) {
					attempts.add("a-" + this.nextStream.getAndIncrement());
					connection.send(attempts.get(j), "f" + attempts.get(j).hashCode() + ":250", DEADLINE_MS);
				}
				for (String attempt : attempts) {
					String outcome = connection.receive(attempt, BODY);
					record(attempt, outcome);
					if (outcome.equals(StreamConnection.WHOLE)) {
						whole++;
					}
					else {
						pause(REFUSED_PAUSE_MS);
					}
				}
			}
		}
		finally {
			connection.close();
		}
		return null;
	}

	private void changeDuringStreams(int streamsAtOnce, Change change) throws Exception {
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
		ExecutorService clients = Executors.newFixedThreadPool(CONNECTIONS);
		try {
			List<Future<Void>> running = new ArrayList<>();
			for (int i = 0; i < CONNECTIONS; i++) {
				Callable<Void> task = () -> sendStreams(streamsAtOnce);
				running.add(clients.submit(task));
			}
			int changes = 0;
			while (running.stream().anyMatch((client) -> !client.isDone())) {
				change.apply(changes++, random);
				pause(random.nextInt(MAX_CHANGE_PAUSE_MS));
			}
			for (Future<Void> client : running) {
				client.get();
			}
		}
		finally {
			clients.shutdownNow();
		}
		assertThat(this.outcomes.getOrDefault(StreamConnection.WHOLE, 0), is(greaterThan(0)));
		assertThat("seed " + SEED, this.lostStreams, is(anEmptyMap()));
	}

	private void changeIdleTimeout(int change, UniformRandomProvider random) throws Exception {
		long timeoutMs = (change % 2 == 0) ? 20 + random.nextInt(100) : 60_000;
		putConfiguration(timeoutMs, ROUTE.formatted("s"), SERVICE.formatted("s"));
	}

	// Guards against a stream that is ended because a shorter idle timeout comes into
	// force while its answer is on its way.
	@Test
	void deliversStreamsWhileIdleTimeoutChanges() throws Exception {
		changeDuringStreams(1, this::changeIdleTimeout);
	}

	// Guards against a pipelined stream that is ended by the idle timeout because the
	// answer before it has ended.
	@Test
	void deliversPipelinedStreamsWhileIdleTimeoutChanges() throws Exception {
		changeDuringStreams(2, this::changeIdleTimeout);
	}

	// Guards against a stream that is ended because its route moves to another service
	// or is removed.
	@Test
	void deliversStreamsWhileRoutesChange() throws Exception {
		String services = SERVICE.formatted("s") + "," + SERVICE.formatted("t");
		changeDuringStreams(1, (change, random) -> {
			if (change % 2 == 1) {
				putConfiguration(60_000, ROUTE.formatted("s"), services);
				return;
			}
			switch (random.nextInt(3)) {
				case 0 -> putConfiguration(60_000, ROUTE.formatted("t"), services);
				case 1 -> putConfiguration(60_000, ROUTE.formatted("t"), SERVICE.formatted("t"));
				default -> putConfiguration(60_000, "", "");
			}
		});
	}

	// Guards against a stream that is ended because its replica drains, changes the
	// service or is removed from the list.
	@Test
	void deliversStreamsWhileReplicasChange() throws Exception {
		changeDuringStreams(1, (change, random) -> {
			if (change % 2 == 1) {
				putEntry("r-1", "s", this.replica, "ready");
				return;
			}
			switch (random.nextInt(3)) {
				case 0 -> putEntry("r-1", "s", this.replica, "draining");
				case 1 -> putEntry("r-1", "t", this.replica, "ready");
				default -> removeEntry("r-1");
			}
		});
	}

	@FunctionalInterface
	private interface Change {

		void apply(int change, UniformRandomProvider random) throws Exception;

	}

}
