package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.platform.RequestTranslator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class UpstreamConnectionTests {

	private static final Upstream REPLICA = new Upstream(new UpstreamId("replica"), UpstreamKind.SERVICE,
			new AvailabilityZone("a"), "127.0.0.1", 1, List.of("s"), 1, false, false);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final UpstreamPool pool = UpstreamPools.create(this.channel.eventLoop());

	private final UpstreamConnection connection = new UpstreamConnection(this.channel, new RequestTranslator(),
			this.pool, REPLICA, true);

	private final RecordingExchange exchange = new RecordingExchange("a-1");

	@BeforeEach
	void connect() {
		this.connection.addTo(this.channel.pipeline());
		this.connection.send(this.exchange);
		this.channel.releaseOutbound();
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private static String response(String attemptId, String body) {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	@Nested
	class HttpResponses {

		// Guards against truncated responses, and against connections that are not
		// returned to the pool after a response.
		@Test
		void forwardsCompleteResponseAndReusesConnection() {
			receive(response("a-1", "hello"));
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "completed"));
			assertThat(UpstreamConnectionTests.this.pool.idleConnections(), is(1));
		}

		// Guards against a late response to an earlier request that is forwarded to the
		// client of the current one.
		@Test
		void skipsResponseToOtherRequest() {
			receive(response("a-0", "late"));
			receive(response("a-1", "hello"));
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "completed"));
		}

		// Guards against a success that is reported to the client although the response
		// may belong to another request.
		@Test
		void failsRequestWhenResponseLacksAttemptId() {
			receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
		}

		// Guards against a response that reaches the client with a status that HTTP does
		// not define, also if it names no request, and against another request on its
		// connection.
		@ParameterizedTest
		@ValueSource(strings = { "000", "007", "099", "600", "999", "1000", "000 S\r\nAttempt-Id: a-1",
				"007 S\r\nAttempt-Id: a-1", "099 S\r\nAttempt-Id: a-1", "600 S\r\nAttempt-Id: a-1",
				"999 S\r\nAttempt-Id: a-1", "1000 S\r\nAttempt-Id: a-1" })
		void failsRequestWhenHttpDoesNotDefineStatus(String head) {
			receive("HTTP/1.1 " + head + "\r\nContent-Length: 2\r\n\r\nok");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
			assertThat(UpstreamConnectionTests.this.channel.isActive(), is(false));
		}

		// Guards against a request that fails because of a late response to another one.
		@Test
		void skipsResponseWithUndefinedStatusToOtherRequest() {
			receive("HTTP/1.1 999 Status\r\nAttempt-Id: a-0\r\nContent-Length: 4\r\n\r\nlate");
			receive(response("a-1", "hello"));
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "completed"));
		}

		// Guards against a truncated response that looks complete to the client because
		// the replica closed the connection early.
		@Test
		void failsRequestWhenResponseEndsEarly() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 9\r\n\r\nhel");
			UpstreamConnectionTests.this.channel.close();
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hel", "broken"));
		}

		// Guards against a truncated response that looks complete because a reset is
		// treated as the end of a response without a length.
		@Test
		void failsRequestWhenConnectionIsReset() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\nhel");
			UpstreamConnectionTests.this.channel.pipeline().fireExceptionCaught(new java.io.IOException("reset"));
			UpstreamConnectionTests.this.channel.close();
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hel", "broken"));
		}

		// Guards against clients that wait forever for the end of a response without a
		// length.
		@Test
		void completesResponseWithoutLengthWhenConnectionCloses() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\nhello");
			UpstreamConnectionTests.this.channel.close();
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "completed"));
		}

	}

	@Nested
	class KeepAliveTimeouts {

		// Guards against a valid response that fails because its keep-alive timeout is
		// too large to parse.
		@Test
		void forwardsResponseWhenTimeoutIsOutOfRange() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nKeep-Alive: timeout=99999999999999999999\r\n"
					+ "Content-Length: 5\r\n\r\nhello");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "completed"));
		}

	}

	@Nested
	class UnusedConnections {

		// Guards against connections that are opened and closed without use.
		@Test
		void areUsable() {
			assertThat(UpstreamConnectionTests.this.connection.isUsable(), is(true));
		}

	}

	@Nested
	class UnexpectedBytes {

		// Guards against surplus bytes after a response that are forwarded as the
		// response to the next request.
		@Test
		void closesIdleConnection() {
			receive(response("a-1", "hello"));
			receive(response("a-1", "again"));
			assertThat(UpstreamConnectionTests.this.channel.isActive(), is(false));
			assertThat(UpstreamConnectionTests.this.pool.idleConnections(), is(0));
		}

		// Guards against memory that a header without end takes until the deadline.
		@Test
		void failsRequestWhenHeaderNeverEnds() {
			receive("HTTP/1.1 200 OK\r\n");
			for (int i = 0; i < 10_000 && UpstreamConnectionTests.this.channel.isActive(); i++) {
				receive("X-" + i + ": " + "x".repeat(50) + "\r\n");
			}
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
			assertThat(UpstreamConnectionTests.this.channel.isActive(), is(false));
		}

		// Guards against memory that bytes without an end take, in each part of a
		// response.
		@ParameterizedTest
		@ValueSource(strings = { "", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Long: ",
				"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
				"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " })
		void failsRequestWhenBytesNeverEnd(String start) {
			receive(start);
			for (int i = 0; i < 1_000 && UpstreamConnectionTests.this.channel.isActive(); i++) {
				receive("1".repeat(1_000));
			}
			assertThat(UpstreamConnectionTests.this.exchange.events(), hasItem("broken"));
			assertThat(UpstreamConnectionTests.this.channel.isActive(), is(false));
		}

		// Guards against a caller that waits until the deadline while the replica sends
		// responses to other requests without end.
		@Test
		void failsRequestWhenOtherResponsesNeverEnd() {
			for (int i = 0; i < 100 && UpstreamConnectionTests.this.channel.isActive(); i++) {
				receive(response("a-0", "late"));
			}
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
		}

		@Test
		void failsRequestWhenInformationalResponsesNeverEnd() {
			for (int i = 0; i < 100 && UpstreamConnectionTests.this.channel.isActive(); i++) {
				receive("HTTP/1.1 100 Continue\r\n\r\n");
			}
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
		}

		// Guards against a body without end that belongs to another request.
		@Test
		void failsRequestWhenBodyOfOtherResponseNeverEnds() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-0\r\n\r\n");
			for (int i = 0; i < 10_000 && UpstreamConnectionTests.this.channel.isActive(); i++) {
				receive("x".repeat(1_000));
			}
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
		}

		// Guards against bytes that are neither counted nor released after a protocol
		// switch.
		@Test
		void failsRequestWhenProtocolIsSwitched() {
			receive("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
			assertThat(UpstreamConnectionTests.this.channel.isActive(), is(false));
		}

		// Guards against bytes that are not an HTTP response and are forwarded to a
		// client.
		@Test
		void failsRequestWhenBytesAreNotHttp() {
			receive("garbage garbage\r\n\r\n");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("broken"));
		}

	}

	@Nested
	class RepeatedAnswers {

		private final RecordingExchange next = new RecordingExchange("a-2");

		private void sendNext() {
			UpstreamConnectionTests.this.connection.send(this.next);
			UpstreamConnectionTests.this.channel.releaseOutbound();
		}

		// Guards against a failure that reaches its client with the status of a success.
		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Type: te", "HTTP/1.1 200 OK\r\n" })
		void withoutEndDoNotJoinNextResponse(String start) {
			receive(response("a-1", "hello"));
			receive(start);
			if (UpstreamConnectionTests.this.channel.isActive()) {
				sendNext();
				receive("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a-2\r\nContent-Length: 2\r\n\r\nno");
			}
			assertThat(this.next.events(), not(hasItem("200")));
		}

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Type: te", "HTTP/1.1 200 OK\r\n" })
		void withoutEndDoNotJoinResponseToRequestSentMeanwhile(String start) {
			receive(response("a-1", "hello"));
			sendNext();
			receive(start);
			receive("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a-2\r\nContent-Length: 2\r\n\r\nno");
			assertThat(this.next.events(), not(hasItem("200")));
		}

		// Guards against a response that ends early and is filled up with its repetition.
		@ParameterizedTest
		@ValueSource(ints = { 4, 6, 12, 100 })
		void doNotCompleteResponseThatEndsEarly(int length) {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: " + length + "\r\n\r\nhel");
			receive(response("a-1", "x".repeat(100)));
			assertThat(UpstreamConnectionTests.this.exchange.events(), not(hasItem("completed")));
			assertThat(UpstreamConnectionTests.this.exchange.events(), hasItem("broken"));
		}

		@Test
		void doNotExtendResponseWithoutLength() {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\nhello");
			receive(response("a-1", "hello"));
			UpstreamConnectionTests.this.channel.close();
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "broken"));
		}

		// Guards against a response that ends early and is filled up with one whose
		// status HTTP does not define.
		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999" })
		void doNotCompleteResponseThatEndsEarlyIfTheirStatusIsUndefined(String status) {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 12\r\n\r\nhel");
			receive("HTTP/1.1 " + status + " Status\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n\r\nno");
			assertThat(UpstreamConnectionTests.this.exchange.events(), not(hasItem("completed")));
			assertThat(UpstreamConnectionTests.this.exchange.events(), hasItem("broken"));
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999" })
		void doNotExtendResponseWithoutLengthIfTheirStatusIsUndefined(String status) {
			receive("HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\nhello");
			receive("HTTP/1.1 " + status + " Status\r\nAttempt-Id: a-1\r\nContent-Length: 2\r\n\r\nno");
			UpstreamConnectionTests.this.channel.close();
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("200", "hello", "broken"));
		}

		// Guards against a caller that waits until its deadline for a response that was
		// taken for a part of a repetition.
		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 100 Con", "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\nhel",
				"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nContent-Length: 4000\r\n\r\nhel",
				"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\nhel",
				"HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: te" })
		void withoutEndDoNotHoldNextResponseBack(String start) {
			receive(response("a-1", "hello"));
			sendNext();
			receive(start);
			if (UpstreamConnectionTests.this.channel.isActive()) {
				receive("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a-2\r\nContent-Length: 2\r\n\r\nno");
			}
			assertThat(this.next.events(), contains("broken"));
		}

		// Guards against a first refusal without identifier that counts as unknown.
		@Test
		void doNotIncludeInformationalResponses() {
			receive("HTTP/1.1 100 Continue\r\n\r\n");
			receive("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
			assertThat(UpstreamConnectionTests.this.exchange.events(), contains("503", "completed"));
		}

		// Guards against a refusal that is taken for the response to a later request.
		@Test
		void withoutAttemptIdAreNoAnswerToNextRequest() {
			receive(response("a-1", "hello"));
			sendNext();
			receive("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
			assertThat(this.next.events(), contains("broken"));
		}

	}

}
