package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests a gateway with engines of another availability zone that answer late but whole.
 */
class GatewaySilentZoneTests extends GatewayEnvironment {

	private static final long SEED = 42;

	private static final int STREAMS = 900;

	private static final int CONNECTIONS = 64;

	private static final long SEND_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1) / 250;

	/** No stream meets its deadline, also if the machine is busy. */
	private static final long DEADLINE_MS = 15_000;

	private static final long CYCLE_MS = 1_600;

	private static final int MIN_SILENCE_MS = 390;

	private static final int MAX_SILENCE_MS = 720;

	private static final int SILENCES = 3;

	private static final int EVENTS = 8;

	private static final long EVENT_PAUSE_NS = 2_000_000;

	private static final String BODY = StreamConnection.events(EVENTS);

	private final List<ReplicaServer> replicas = new ArrayList<>();

	private final long[] silenceMs = new long[SILENCES];

	private final AtomicInteger nextStream = new AtomicInteger();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private volatile long startedNs;

	@Override
	void putDeployment() throws Exception {
		this.replica.respondWith(GatewaySilentZoneTests::answer);
		put("servers", "a-0", entry("a", this.replica));
		for (int i = 0; i < 3; i++) {
			ReplicaServer added = new ReplicaServer();
			added.respondWith(this::answerAfterSilence);
			this.replicas.add(added);
			put("servers", "b-" + i, entry("b", added));
		}
		put("config", "main", """
				{"Version":1,"Limits":{"IdleTimeoutMs":60000},"Routes":[
				{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","Resumable":true,"TimeoutMs":15000,
				"RetainS":60,"Service":"s"}],
				"Services":[{"Name":"s","Engine":{"Stride":6}}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":100000,"Burst":100000}]}""");
	}

	private static String entry(String zone, ReplicaServer replica) {
		return """
				{"Service":"s","Addr":"%s:%d","Zone":"%s","Slots":16,"State":"ready","Seq":1}""".formatted(HOST,
				replica.port(), zone);
	}

	@AfterEach
	void stopReplicas() throws IOException {
		for (ReplicaServer added : this.replicas) {
			added.close();
		}
	}

	private static void answer(ReplicaServer.Request request, OutputStream output) throws IOException {
		ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
				+ "\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int i = 1; i <= EVENTS; i++) {
			LockSupport.parkNanos(EVENT_PAUSE_NS);
			output.write(StreamConnection.chunk(StreamConnection.event(i)));
		}
		ReplicaServer.write(output, "0\r\n\r\n");
	}

	// All answers that are held back begin at the same moment.
	private void answerAfterSilence(ReplicaServer.Request request, OutputStream output) throws IOException {
		long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNs);
		int cycle = (int) (elapsedMs / CYCLE_MS);
		if (cycle < SILENCES) {
			parkUntil(this.startedNs + TimeUnit.MILLISECONDS.toNanos(cycle * CYCLE_MS + this.silenceMs[cycle]));
		}
		answer(request, output);
	}

	private static void parkUntil(long timeNs) {
		for (long leftNs = timeNs - System.nanoTime(); leftNs > 0; leftNs = timeNs - System.nanoTime()) {
			LockSupport.parkNanos(leftNs);
		}
	}

	private Void sendStreams() throws IOException {
		StreamConnection connection = new StreamConnection(HOST, this.clientPort);
		try {
			for (int i = this.nextStream.getAndIncrement(); i < STREAMS; i = this.nextStream.getAndIncrement()) {
				parkUntil(this.startedNs + i * SEND_INTERVAL_NS);
				if (!connection.isOpen()) {
					connection.close();
					connection = new StreamConnection(HOST, this.clientPort);
				}
				String attempt = "a-" + i;
				connection.send(attempt, "1:800," + (2 + i % 8) + ":410,f" + Integer.toHexString(i) + ":250",
						DEADLINE_MS);
				String outcome = connection.receive(attempt, BODY);
				synchronized (this.outcomes) {
					this.outcomes.merge(outcome, 1, Integer::sum);
				}
			}
		}
		finally {
			connection.close();
		}
		return null;
	}

	// Guards against a stream that is ended because other calls to its zone have no
	// answer yet, although its own is on its way.
	@Test
	void deliversAnswersOfSilentZone() throws Exception {
		await(() -> dump().contains("replicas=4 "));
		UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
		for (int i = 0; i < SILENCES; i++) {
			this.silenceMs[i] = random.nextInt(MIN_SILENCE_MS, MAX_SILENCE_MS + 1);
		}
		this.startedNs = System.nanoTime();
		ExecutorService clients = Executors.newFixedThreadPool(CONNECTIONS);
		try {
			List<Callable<Void>> tasks = new ArrayList<>();
			for (int i = 0; i < CONNECTIONS; i++) {
				tasks.add(this::sendStreams);
			}
			for (Future<Void> client : clients.invokeAll(tasks)) {
				client.get();
			}
		}
		finally {
			clients.shutdownNow();
		}
		assertThat(this.replicas.stream().mapToInt(ReplicaServer::requestCount).sum(), is(greaterThan(0)));
		assertThat("seed " + SEED, this.outcomes, is(Map.of(StreamConnection.WHOLE, STREAMS)));
	}

}
