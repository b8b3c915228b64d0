package dev.nutmegdoor.standin.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.conversation.FailureTolerance;
import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.node.relay.GatewayNode;
import dev.nutmegdoor.standin.platform.PlatformStandin;
import dev.nutmegdoor.standin.platform.PlatformStandinSettings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

class GatewayRetainedTurnsTests extends GatewayEnvironment {

	private static final String OTHER_KEY = "Authorization: Bearer key-2\r\n";

	private static final String END = "0\r\n\r\n";

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	private List<String> memberZones = List.of("a", "b", "c");

	private final List<TurnMemberServer> members = new ArrayList<>();

	@Override
	FailureTolerance tolerance() {
		return new FailureTolerance(2, 1);
	}

	@Override
	void putDeployment() throws Exception {
		put("servers", "r-1", """
				{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST,
				this.replica.port()));
		put("config", "main", """
				{"Version":1,"Limits":{"IdleTimeoutMs":60000,"MaxBodyBytes":100},"Routes":[
				{"Name":"kept","Host":"h.example","Prefix":"/kept/","Kind":"stream","Resumable":false,"Retain":true,
				"TimeoutMs":9000,"RetainS":60,"Attempts":2,"Service":"s"},
				{"Name":"turn","Host":"h.example","Prefix":"/turn/","Kind":"stream","TimeoutMs":9000,"Service":"s"}],
				"Services":[{"Name":"s","Engine":{"Stride":6}}],
				"Tenants":[{"Name":"w","ApiKeys":["key-1"],"RatePerS":1000,"Burst":1000},
				{"Name":"w2","ApiKeys":["key-2"],"RatePerS":1000,"Burst":1000}]}""");
		for (String zone : this.memberZones) {
			int port = freePort();
			this.members.add(new TurnMemberServer("m-" + zone, port));
			put("ledger-replicas", "m-" + zone, """
					{"zone":"%s","host":"%s","port":%d,"leaving":false}""".formatted(zone, HOST, port));
		}
	}

	@AfterEach
	void stopMembers() {
		this.members.forEach(TurnMemberServer::close);
	}

	private void respondWith(String body) {
		this.replica.respondWith(ReplicaServer.fixedResponse(200, EVENT_STREAM, body));
	}

	/** Sends a complete turn and returns its identifier. */
	private String turn(String previous, String input, String events) throws IOException {
		respondWith(events);
		String id = "a-" + this.nextAttempt;
		String response = exchange("/kept/a", KEY + ((previous != null) ? "Previous-Turn: " + previous + "\r\n" : ""),
				input);
		assertThat(response, containsString("HTTP/1.1 200"));
		assertThat(response, endsWith(END));
		return id;
	}

	private ReplicaServer.Request lastRequest() {
		synchronized (this.replica.requests) {
			return this.replica.requests.get(this.replica.requests.size() - 1);
		}
	}

	private boolean isStored(String id) throws Exception {
		int copies = 0;
		for (TurnMemberServer member : this.members) {
			copies += member.hasTurn(id) ? 1 : 0;
		}
		return copies > 0;
	}

	@Nested
	class Bodies {

		// Guards against a replica that gets another conversation than the client had:
		// other bytes, another order, another length or a missing field.
		@Test
		void consistOfAllTurnsBeforeAndNewInput() throws Exception {
			String first = turn(null, "one", "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n");
			assertThat(lastRequest().body, is("one"));
			String second = turn(first, "two", ": ping\n\ndata:d\r\n\r\n");
			assertThat(lastRequest().body, is("onea\nb\nc\ntwo"));
			assertThat(lastRequest().fields.get("content-length"), is("12"));
			assertThat(lastRequest().fields.get("previous-turn"), is(first));
			assertThat(lastRequest().line, is("POST /kept/a HTTP/1.1"));
			turn(second, "three", "data: e\n\n");
			assertThat(lastRequest().body, is("onea\nb\nc\ntwod\nthree"));
		}

		// Guards against two turns that continue the same one and see each other.
		@Test
		void keepBranchesApart() throws Exception {
			String first = turn(null, "one", "data: a\n\n");
			turn(first, "two", "data: b\n\n");
			turn(first, "three", "data: c\n\n");
			assertThat(lastRequest().body, is("onea\nthree"));
		}

		// Guards against a turn that is known only to the gateway that stored it.
		@Test
		void areReadFromMembersByRestartedGateway() throws Exception {
			String first = turn(null, "one", "data: a\n\n");
			GatewayRetainedTurnsTests.this.gateway.stop();
			GatewayRetainedTurnsTests.this.clientPort = freePort();
			GatewayRetainedTurnsTests.this.readinessPort = freePort();
			GatewayRetainedTurnsTests.this.gateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()),
					0, EventLog.NONE);
			GatewayRetainedTurnsTests.this.gateway.start();
			await(() -> readiness() == 200);
			await(() -> dump().contains("ledgerReplicas=4"));
			turn(first, "two", "data: b\n\n");
			assertThat(lastRequest().body, is("onea\ntwo"));
		}

		// Guards against a replica that gets only the new input, because another one had
		// declined the request before.
		@Test
		void areTheSameAtNextReplica() throws Exception {
			String first = turn(null, "one", "data: a\n\n");
			try (ReplicaServer second = new ReplicaServer()) {
				put("servers", "r-2", """
						{"Service":"s","Addr":"%s:%d","Zone":"a","Slots":4,"State":"ready","Seq":1}""".formatted(HOST,
						second.port()));
				await(() -> dump().contains("replicas=2"));
				AtomicBoolean isDeclined = new AtomicBoolean();
				List<String> bodies = Collections.synchronizedList(new ArrayList<>());
				ReplicaServer.Responder responder = (request, output) -> {
					bodies.add(request.body);
					ReplicaServer.Responder response = isDeclined.compareAndSet(false, true)
							? ReplicaServer.fixedResponse(503, "Not-Executed: 1\r\n", "busy")
							: ReplicaServer.fixedResponse(200, EVENT_STREAM, "data: b\n\n");
					response.respond(request, output);
				};
				GatewayRetainedTurnsTests.this.replica.respondWith(responder);
				second.respondWith(responder);
				assertThat(exchange("/kept/a", KEY + "Previous-Turn: " + first + "\r\n", "two"), endsWith(END));
				assertThat(bodies, is(List.of("onea\ntwo", "onea\ntwo")));
			}
		}

		// Guards against bodies that replicas do not accept.
		@Test
		void areRefusedWhenTooLong() throws Exception {
			String first = turn(null, "x".repeat(90), "data: a\n\n");
			String response = exchange("/kept/a", KEY + "Previous-Turn: " + first + "\r\n", "y".repeat(9));
			assertThat(response, containsString("HTTP/1.1 413"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(1));
			turn(first, "y".repeat(8), "data: b\n\n");
		}

		// Guards against a changed body on routes that keep no turns.
		@Test
		void areUnchangedOnOtherRoutes() throws Exception {
			respondWith("data: a\n\n");
			String response = exchange("/turn/a", KEY + "Previous-Turn: none\r\n", "one");
			assertThat(response, containsString("HTTP/1.1 200"));
			assertThat(response, containsString("Content-Length"));
			assertThat(lastRequest().body, is("one"));
			assertThat(isStored("a-0"), is(false));
		}

	}

	@Nested
	class EndsOfResponses {

		private void holdAnswers(boolean isHolding) {
			GatewayRetainedTurnsTests.this.members.forEach((member) -> member.setHolding(isHolding));
		}

		// Guards against a turn that is lost although its client saw the end, and against
		// events that wait for it.
		@Test
		void areHeldBackUntilTurnIsStored() throws Exception {
			holdAnswers(true);
			respondWith("data: a\n\n");
			try (Socket socket = send("/kept/a", KEY, "one")) {
				StringBuilder received = new StringBuilder();
				receiveUntil(socket, received, "data: a\n\n\r\n");
				await(() -> isStored("a-0"));
				assertThat(received.toString(), not(containsString("Content-Length")));
				assertThat(socket.getInputStream().available(), is(0));
				holdAnswers(false);
				receiveUntil(socket, received, END);
			}
		}

		// Guards against a response that looks complete although its turn is not stored.
		@Test
		void areNotSentWhenTurnIsNotStored() throws Exception {
			GatewayRetainedTurnsTests.this.members.get(1).setRefusing(true);
			GatewayRetainedTurnsTests.this.members.get(2).setRefusing(true);
			respondWith("data: a\n\n");
			String response = exchange("/kept/a", KEY, "one");
			assertThat(response, containsString("data: a"));
			assertThat(response, not(containsString(END)));
		}

		// Guards against a gateway that fails because a client left while its turn was
		// stored.
		@Test
		void areDroppedWhenClientHasLeft() throws Exception {
			holdAnswers(true);
			respondWith("data: a\n\n");
			try (Socket socket = send("/kept/a", KEY, "one")) {
				receiveUntil(socket, new StringBuilder(), "data: a\n\n");
				await(() -> isStored("a-0"));
			}
			holdAnswers(false);
			turn("a-0", "two", "data: b\n\n");
			assertThat(lastRequest().body, is("onea\ntwo"));
			await(() -> dump().contains("pending=0"));
			assertThat(dump(), containsString("chainBytes=0"));
		}

	}

	@Nested
	class TurnsThatDoNotCount {

		private void isUnknown(String id) throws Exception {
			int requests = GatewayRetainedTurnsTests.this.replica.requestCount();
			String response = exchange("/kept/a", KEY + "Previous-Turn: " + id + "\r\n", "next");
			assertThat(response, containsString("HTTP/1.1 404"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requestCount(), is(requests));
			assertThat(isStored(id), is(false));
		}

		// Guards against a conversation that goes on after a response that the client has
		// seen in part only.
		@Test
		void haveBrokenResponses() throws Exception {
			GatewayRetainedTurnsTests.this.replica.respondWith((request, output) -> {
				ReplicaServer.write(output, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.fields.get("attempt-id")
						+ "\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
				request.isConnectionClosed = true;
			});
			assertThat(exchange("/kept/a", KEY, "one"), not(containsString(END)));
			isUnknown("a-0");
		}

		// Guards against error messages and empty responses that become part of a
		// conversation.
		@ParameterizedTest
		@ValueSource(ints = { 400, 500, 302 })
		void haveOtherStatus(int status) throws Exception {
			GatewayRetainedTurnsTests.this.replica
				.respondWith(ReplicaServer.fixedResponse(status, EVENT_STREAM, "data: a\n\n"));
			assertThat(exchange("/kept/a", KEY, "one"), containsString("HTTP/1.1 " + status));
			isUnknown("a-0");
		}

		// Guards against responses without a body that wait for an end or are kept.
		@Test
		void haveNoBody() throws Exception {
			GatewayRetainedTurnsTests.this.replica.respondWith((request, output) -> ReplicaServer.write(output,
					"HTTP/1.1 204 No Content\r\nAttempt-Id: " + request.fields.get("attempt-id") + "\r\n\r\n"));
			assertThat(exchange("/kept/a", KEY, "one"), containsString("HTTP/1.1 204"));
			isUnknown("a-0");
		}

	}

	@Nested
	class PreviousTurns {

		private String responseTo(String fields) throws IOException {
			return exchange("/kept/a", fields, "next");
		}

		// Guards against identifiers that can't exist and reach members or replicas.
		@ParameterizedTest
		@ValueSource(strings = { "", "a\tb", "x\u0080", "none" })
		void areUnknown(String id) throws Exception {
			assertThat(responseTo(KEY + "Previous-Turn: " + id + "\r\n"), containsString("HTTP/1.1 404"));
			assertThat(responseTo(KEY + "Previous-Turn: " + "x".repeat(129) + "\r\n"), containsString("HTTP/1.1 404"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(0));
		}

		// Guards against a workspace that reads the conversations of another one.
		@Test
		void ofOtherWorkspacesAreUnknown() throws Exception {
			String first = turn(null, "one", "data: a\n\n");
			assertThat(responseTo(OTHER_KEY + "Previous-Turn: " + first + "\r\n"), containsString("HTTP/1.1 404"));
		}

		// Guards against a client that gives up a conversation because a member that has
		// it is being restored.
		@Test
		void areNotReportedAsUnknownWhileMemberIsIncomplete() throws Exception {
			GatewayRetainedTurnsTests.this.members.get(1).setComplete(false);
			String response = responseTo(KEY + "Previous-Turn: none\r\n");
			assertThat(response, containsString("HTTP/1.1 503"));
			assertThat(response, containsString("Retry-After: 0."));
			assertThat(response, containsString("turn-uncertain"));
			GatewayRetainedTurnsTests.this.members.get(1).close();
			assertThat(responseTo(KEY + "Previous-Turn: none\r\n"), containsString("HTTP/1.1 503"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(0));
		}

		// Guards against a client that waits for a chain beyond its own deadline.
		@Test
		void areReadWithinDeadline() throws Exception {
			GatewayRetainedTurnsTests.this.members.forEach((member) -> member.setHolding(true));
			String response = responseTo(KEY + "Previous-Turn: none\r\nDeadline-Ms: 300\r\n");
			assertThat(response, containsString("HTTP/1.1 503"));
			assertThat(response, containsString("could not be read within"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(0));
		}

		// Guards against work of replicas that is lost, because a gateway that has just
		// started does not know where to store a turn.
		@Test
		void areRefusedBeforeMembersAreKnown() throws Exception {
			GatewayRetainedTurnsTests.this.gateway.stop();
			GatewayRetainedTurnsTests.this.ledger.stop();
			GatewayRetainedTurnsTests.this.platform.close();
			GatewayRetainedTurnsTests.this.platform = PlatformStandin.start(PlatformStandinSettings.DEFAULT);
			GatewayRetainedTurnsTests.this.memberZones = List.of();
			putDeployment();
			GatewayRetainedTurnsTests.this.clientPort = freePort();
			GatewayRetainedTurnsTests.this.readinessPort = freePort();
			GatewayRetainedTurnsTests.this.gateway = new GatewayNode(settings("i-2", freePort(), freePort(), List.of()),
					0, EventLog.NONE);
			GatewayRetainedTurnsTests.this.gateway.start();
			await(() -> dump().contains("configuration=1 replicas=1"));
			String response = responseTo(KEY);
			assertThat(response, containsString("HTTP/1.1 503"));
			assertThat(response, containsString("turn-uncertain"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(0));
		}

		// Guards against a turn that is stored without its first events.
		@Test
		void areNotResumed() throws Exception {
			String response = responseTo(KEY + "Last-Event-Id: 3\r\nResumes: a-0\r\n");
			assertThat(response, containsString("HTTP/1.1 503"));
			assertThat(response, containsString("not-resumable"));
			assertThat(GatewayRetainedTurnsTests.this.replica.requests, hasSize(0));
		}

	}

	@Nested
	class Metrics {

		// Guards against an operator who can't explain a turn from the metrics.
		@Test
		void countsTurns() throws Exception {
			turn(turn(null, "one", "data: a\n\n"), "two", "data: b\n\n");
			exchange("/kept/a", KEY + "Previous-Turn: none\r\n", "");
			String metrics = observe("/metrics").body();
			assertThat(metrics, containsString("turns_stored"));
			assertThat(metrics, containsString("turns_chains_not_found"));
			assertThat("the memory of bodies is returned", dump(), containsString("chainBytes=0"));
			assertThat(lastRequest().fields.get("authorization"), is(nullValue()));
		}

	}

}
