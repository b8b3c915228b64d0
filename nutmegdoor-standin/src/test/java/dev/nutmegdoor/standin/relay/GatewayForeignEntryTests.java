package dev.nutmegdoor.standin.relay;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.ledger.LedgerNode;
import dev.nutmegdoor.node.relay.GatewayNode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests a gateway while entries of another writer are among those that it reads.
 */
class GatewayForeignEntryTests extends GatewayEnvironment {

	private static final String FOREIGN_ENTRY = """
			{"Service":"s","Addr":%s,"Zone":"a","Slots":%s,"State":"ready","Seq":%s,"born":%s}""";

	private static final int REQUESTS = 5;

	private static final String USABLE_ADDRESS = "\"127.0.0.1:9\"";

	private static String nested(int depth) {
		return "[".repeat(depth) + "]".repeat(depth);
	}

	private static String withAddress(String address) {
		return FOREIGN_ENTRY.formatted(address, "4", "1", "1");
	}

	private static String withSlots(String slots) {
		return FOREIGN_ENTRY.formatted(USABLE_ADDRESS, slots, "1", "1");
	}

	static Stream<String> foreignEntries() {
		return Stream.of(withSlots(nested(1_500)), withSlots(nested(20_000)), withSlots(nested(400_000)),
				withSlots("9".repeat(1_200)), withSlots("4294967297"), withSlots("1e99999999"), withSlots("2147483647"),
				FOREIGN_ENTRY.formatted(USABLE_ADDRESS, "4", "1", "9".repeat(1_200)),
				FOREIGN_ENTRY.formatted(USABLE_ADDRESS, "4", "Infinity", "1"), withAddress("\"127.0.0.1:70000\""),
				withAddress("\"localhost:9\""), withAddress("\"127.0.0.1:0\""), withAddress("\"127.0.0.1\""),
				withAddress("\"127.0.0.1:99999999999\""), withAddress(nested(1_500)),
				withAddress("\"" + "1".repeat(900_000) + "\""), "null", "\"\\u0000\\ud800\"");
	}

	private void restart() throws Exception {
		this.gateway.stop();
		this.clientPort = freePort();
		this.readinessPort = freePort();
		this.gateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()), 0, EventLog.NONE);
		this.gateway.start();
		await(() -> readiness() == 200);
	}

	private void putReplica(String name, ReplicaServer server, String state) {
		this.platform.put("servers", name, """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"%s","Seq":2}""".formatted(HOST,
				server.port(), state));
	}

	/** Lets the replica leave and another one join, and sends requests. */
	private void requireListIsFollowed() throws Exception {
		try (ReplicaServer added = new ReplicaServer()) {
			added.respondWith(ReplicaServer.fixedResponse(200, "", "answer"));
			putReplica("r-1", this.replica, "draining");
			putReplica("z-2", added, "ready");
			await(() -> dump().contains("replicas=2 "));
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(exchange("/safe/a", KEY, ""), containsString("HTTP/1.1 200"));
			}
			assertThat(this.replica.requestCount(), is(0));
			assertThat(added.requestCount(), is(REQUESTS));
		}
	}

	@Nested
	class AmongReplicas {

		// Guards against requests to a replica that has reported draining, and a replica
		// that joins and gets none, because the list can't be read.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.standin.relay.GatewayForeignEntryTests#foreignEntries")
		void doesNotEndWatchOfReplicas(String entry) throws Exception {
			GatewayForeignEntryTests.this.platform.put("servers", "k-1", entry);
			requireListIsFollowed();
		}

		// Guards against a replica that is used although its entry has been overwritten.
		@Test
		void takesReplicaOutOfUseWhoseEntryItOverwrites() throws Exception {
			GatewayForeignEntryTests.this.platform.put("servers", "r-1", withSlots(nested(20_000)));
			await(() -> dump().contains("replicas=0 "));
			assertThat(exchange("/safe/a", KEY, ""), containsString("HTTP/1.1 503"));
		}

		// Guards against a process that does not get ready beside an entry, or is ready
		// without the replicas after it.
		@ParameterizedTest
		@MethodSource("dev.nutmegdoor.standin.relay.GatewayForeignEntryTests#foreignEntries")
		void doesNotHinderStart(String entry) throws Exception {
			GatewayForeignEntryTests.this.platform.put("servers", "k-1", entry);
			restart();
			requireListIsFollowed();
		}

	}

	@Nested
	class InOtherLists {

		// Guards against a gateway that finds no ledger replica or no other gateway, or
		// gets no configuration, because of an entry that is none.
		@ParameterizedTest
		@ValueSource(strings = { "config", "gateways", LedgerNode.REGISTRY_KIND, "retirements" })
		void doesNotHinderStart(String kind) throws Exception {
			for (String name : List.of("a b", "a/b", " ", "k-1", "z".repeat(200))) {
				GatewayForeignEntryTests.this.platform.put(kind, name, withSlots(nested(20_000)));
				GatewayForeignEntryTests.this.platform.put(kind, name + "1", """
						{"zone":"a","host":"127.0.0.1","port":70000,"leaving":false,"Version":1e400}""");
				GatewayForeignEntryTests.this.platform.put(kind, name + "2", "\"\\u0000\"");
			}
			restart();
			GatewayForeignEntryTests.this.replica
				.respondWith(ReplicaServer.fixedResponse(200, "Content-Type: text/event-stream\r\n", "id: 1\n\n"));
			assertThat(exchange("/turn/a", KEY + "Program-Id: p\r\nToken-Budget: 100\r\n", ""),
					containsString("HTTP/1.1 200"));
		}

	}

}
