package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.placement.ColdTolerance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A gateway whose only replica is cold.
 */
class GatewayColdReplicaTests extends GatewayEnvironment {

	/** Requests in any one second that the replica survives: 4 × 1.5 + 5. */
	private static final int BOUND = 11;

	private static final int REQUESTS = 60;

	private static final long REQUEST_GAP_NS = 40_000_000;

	private static final long WINDOW_NS = 1_000_000_000;

	/** Time after which a gateway that starts first of all has listed the others. */
	private static final long LISTED_NS = 5_000_000_000L;

	private final List<Long> arrivalsNs = new ArrayList<>();

	GatewayColdReplicaTests() {
		this.coldTolerance = new ColdTolerance(1.5, 5);
	}

	@Override
	void putDeployment() throws Exception {
		super.putDeployment();
		putReplica(2, 0);
		remove("config", "main");
		put("config", "main", """
				{"Version":2,"Routes":[
				{"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":700,"Service":"s"}],
				"Services":[{"Name":"s","ColdS":3.0,"ColdPerS":4.0}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000}]}""");
		this.replica.respondWith((request, output) -> {
			synchronized (this.arrivalsNs) {
				this.arrivalsNs.add(System.nanoTime());
			}
			ReplicaServer.fixedResponse(200, "", "whole").respond(request, output);
		});
	}

	private void putReplica(int sequence, long coldLeftMs) {
		this.platform.put("servers", "r-1", """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":%d,"ColdLeftMs":%d}"""
			.formatted(HOST, this.replica.port(), sequence, coldLeftMs));
	}

	private List<String> sendAll() throws IOException {
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			sockets.add(send("/safe/a", KEY + "Connection: close\r\n", "request"));
			LockSupport.parkNanos(REQUEST_GAP_NS);
		}
		List<String> responses = new ArrayList<>();
		for (Socket socket : sockets) {
			StringBuilder received = new StringBuilder();
			long deadlineNs = deadlineNs();
			while (receive(socket, received, deadlineNs)) {
				continue;
			}
			responses.add(received.toString());
			socket.close();
		}
		return responses;
	}

	private int maxArrivals() {
		synchronized (this.arrivalsNs) {
			return (int) this.arrivalsNs.stream()
				.mapToLong((firstNs) -> this.arrivalsNs.stream()
					.filter((timeNs) -> timeNs - firstNs >= 0 && timeNs - firstNs < WINDOW_NS)
					.count())
				.max()
				.orElse(0);
		}
	}

	// Guards against a replica that crashes because its entry is not read or not applied,
	// and against callers who are not told when to retry.
	@Test
	void replicaSurvivesAndExcessIsRefusedWithTimeToRetry() throws Exception {
		long startedNs = System.nanoTime();
		await(() -> System.nanoTime() - startedNs > LISTED_NS);
		putReplica(3, 60_000);
		await(() -> dump().contains("cold=1"));
		List<String> responses = sendAll();
		assertThat(maxArrivals(), lessThanOrEqualTo(BOUND));
		List<String> refusals = responses.stream().filter((response) -> !response.contains(" 200 ")).toList();
		assertThat(REQUESTS - refusals.size(), greaterThan(2));
		assertThat(refusals.size(), greaterThan(REQUESTS / 4));
		for (String refusal : refusals) {
			assertThat(refusal, containsString("Retry-After: "));
			assertThat(refusal, containsString("Nutmegdoor-Run: not_run"));
		}
		// 100 ms are stated for a request that another gateway could serve at once.
		assertThat((int) refusals.stream().filter((refusal) -> !refusal.contains("Retry-After: 0.100")).count(),
				greaterThan(refusals.size() / 2));
	}

	// Guards against a limit that outlives the cold time.
	@Test
	void warmReplicaServesAll() throws Exception {
		putReplica(3, 300);
		await(() -> dump().contains("cold=1"));
		await(() -> dump().contains("cold=0"));
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		assertThat(sendAll().stream().filter((response) -> response.contains(" 200 ")).count(), is((long) REQUESTS));
	}

}
