package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.route.RequestLimits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.startsWith;

class ClientConnectionTests {

	private RequestLimits limits = new RequestLimits(1_000, 1_000, 3_000, 15_000);

	private final ClientConnection connection = new ClientConnection(() -> this.limits, this::nowNs, EventLog.NONE);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long nowMs;

	ClientConnectionTests() {
		this.channel.freezeTime();
		this.channel.pipeline().addFirst(this.connection);
	}

	private long nowNs() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private void advance(long millis) {
		this.nowMs += millis;
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	@Nested
	class IdleTimeout {

		// Guards against resets of reused connections because the gateway closes an idle
		// connection before the configured timeout.
		@Test
		void closesConnectionWhenIdleTimeoutExpires() {
			advance(14_999);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(true));
			advance(1);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(false));
		}

		// Guards against a timeout of an earlier configuration that still applies to idle
		// connections after a change.
		@Test
		void appliesChangedTimeoutToIdleConnection() {
			advance(10_000);
			ClientConnectionTests.this.limits = new RequestLimits(1_000, 1_000, 3_000, 30_000);
			advance(19_999);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(true));
			advance(1);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(false));
		}

		// Guards against an idle connection that is closed too early because its idle
		// time is measured from the first request instead of the last response.
		@Test
		void startsIdleTimeoutAfterLastResponse() {
			receive("GET / HTTP/1.1\r\n\r\n");
			ClientConnectionTests.this.connection.requestStarted();
			advance(20_000);
			ClientConnectionTests.this.connection.requestEnded();
			advance(14_999);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(true));
			advance(1);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(false));
		}

	}

	@Nested
	class HeaderTimeout {

		// Guards against clients that occupy connections by sending a header slowly.
		@Test
		void respondsWithRequestTimeoutAndClosesConnection() {
			receive("GET / HT");
			advance(2_000);
			receive("TP/1.1\r\n");
			advance(1_000);
			ByteBuf response = ClientConnectionTests.this.channel.readOutbound();
			assertThat(response.toString(StandardCharsets.US_ASCII), startsWith("HTTP/1.1 408"));
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(false));
		}

	}

	@Nested
	class RunningRequests {

		// Guards against a long response that is aborted because the connection is
		// treated as idle.
		@Test
		void keepsConnectionOpenWithoutTimeout() {
			receive("GET / HTTP/1.1\r\n\r\n");
			ClientConnectionTests.this.connection.requestStarted();
			advance(600_000);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(true));
			assertThat(ClientConnectionTests.this.channel.readOutbound(), is(nullValue()));
		}

		// Guards against a pipelined request that is aborted because the connection is
		// treated as idle after the first request has ended.
		@Test
		void keepsConnectionOpenUntilLastRequestEnds() {
			ClientConnectionTests.this.connection.requestStarted();
			ClientConnectionTests.this.connection.requestStarted();
			ClientConnectionTests.this.connection.requestEnded();
			advance(600_000);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(true));
			ClientConnectionTests.this.connection.requestEnded();
			advance(15_000);
			assertThat(ClientConnectionTests.this.channel.isOpen(), is(false));
		}

	}

}
