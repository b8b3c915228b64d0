package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * A gateway on a platform on which operators evacuate zones.
 */
class GatewayEvacuationTests extends GatewayEnvironment {

	private static final int REQUESTS = 20;

	private static final String TURN_FIELDS = KEY + "Token-Usage: 10,60\r\nDeadline-Ms: 3000\r\n";

	private PlatformStandin otherPlatform;

	private GatewayNode otherGateway;

	GatewayEvacuationTests() {
		this.evacuationMs = 5_000L;
	}

	@AfterEach
	void stopOtherGateway() {
		if (this.otherGateway != null) {
			this.otherGateway.stop();
		}
		if (this.otherPlatform != null) {
			this.otherPlatform.close();
		}
	}

	private void evacuate(String zone) throws Exception {
		put("evacuations", zone, "{}");
		await(() -> dump().contains("evacuated=[" + zone + "]"));
	}

	private static String entryAt(int port, String zone) {
		return """
				{"Service":"s","Addr":"%s:%d","Zone":"%s","Slots":4,"State":"ready","Seq":1}""".formatted(HOST, port,
				zone);
	}

	// Guards against requests that run in an evacuated zone, also when no other zone is
	// left, and against a zone that does not return to service.
	@Test
	void requestsAreRefusedAsNotRunWhileAllZonesAreEvacuated() throws Exception {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
		evacuate("a");
		for (String path : List.of("/safe/a", "/once/a")) {
			String response = exchange(path, KEY, "request");
			assertThat(response, startsWith("HTTP/1.1 503"));
			assertThat(response.toLowerCase(Locale.ROOT), containsString("run: not_run"));
		}
		assertThat(exchange("/turn/a", TURN_FIELDS + "Last-Event-Id: 1\r\nResumes: a-0\r\n", ""),
				startsWith("HTTP/1.1 503"));
		assertThat(this.replica.requestCount(), is(0));
		remove("evacuations", "a");
		await(() -> exchange("/safe/a", KEY, "request").startsWith("HTTP/1.1 200"));
	}

	// Guards against requests that fail although another zone serves.
	@Test
	void otherZoneServesAllRequests() throws Exception {
		try (ReplicaServer other = new ReplicaServer()) {
			this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "a"));
			other.respondWith(ReplicaServer.fixedResponse(200, "", "b"));
			put("servers", "r-2", entryAt(other.port(), "b"));
			evacuate("a");
			await(() -> dump().contains("replicas=2"));
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(exchange("/safe/a", KEY, "request"), startsWith("HTTP/1.1 200"));
			}
			assertThat(this.replica.requestCount(), is(0));
			assertThat(other.requestCount(), is(REQUESTS));
		}
	}

	// Guards against a retry that goes to an evacuated zone because the request was
	// accepted before the evacuation.
	@Test
	void requestIsNotRetriedInZoneThatHasBeenEvacuatedMeanwhile() throws Exception {
		try (ReplicaServer other = new ReplicaServer()) {
			other.respondWith((request, output) -> {
				putEvacuation();
				request.isConnectionReset = true;
			});
			this.replica.respondWith((request, output) -> {
				putEvacuation();
				request.isConnectionReset = true;
			});
			put("servers", "r-2", entryAt(other.port(), "a"));
			await(() -> dump().contains("replicas=2"));
			exchange("/safe/a", KEY, "request");
			assertThat(this.replica.requestCount() + other.requestCount(), is(1));
		}
	}

	private void putEvacuation() throws IOException {
		try {
			evacuate("a");
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException(ex);
		}
	}

	// Guards against a gateway that has restarted and sends requests before it knows the
	// evacuations, from the store or, while that is down, from another gateway.
	@Test
	void restartedGatewayKnowsEvacuationBeforeItsFirstRequest() throws Exception {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
		evacuate("a");
		this.platform.close();
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.otherGateway = new GatewayNode(
				settings("i-2", freePort(), freePort(), List.of(new InetSocketAddress(HOST, this.controlPort))), 0,
				EventLog.NONE);
		this.otherGateway.start();
		assertThat(exchange("/safe/a", KEY + "Deadline-Ms: 8000\r\n", "request"), startsWith("HTTP/1.1 503"));
		assertThat(this.replica.requestCount(), is(0));
		await(() -> dump().contains("evacuated=[a]"));
	}

	// Guards against a request that reaches an evacuated zone through the tunnel of a
	// gateway that knows the evacuation.
	@Test
	void gatewayOpensNoTunnelIntoEvacuatedZone() throws Exception {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, "", "whole"));
		evacuate("a");
		PlatformStandin workingPlatform = this.platform;
		this.otherPlatform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
		this.platform = this.otherPlatform;
		put("servers", "r-1", entryAt(freePort(), "a"));
		copy(workingPlatform, "config");
		copy(workingPlatform, "gateways");
		copy(workingPlatform, LedgerNode.REGISTRY_KIND);
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.evacuationMs = null;
		this.otherGateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()), 0, EventLog.NONE);
		this.platform = workingPlatform;
		this.otherGateway.start();
		await(() -> readiness() == 200 && dump().contains("gateways=2"));
		assertThat(exchange("/once/a", KEY, "request"), startsWith("HTTP/1.1 503"));
		assertThat(this.replica.requestCount(), is(0));
		remove("evacuations", "a");
		await(() -> exchange("/once/a", KEY, "request").startsWith("HTTP/1.1 200"));
	}

}
