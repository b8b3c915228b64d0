package dev.nutmegdoor.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.configuration.UpstreamKind;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelMessages;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.platform.RequestTranslator;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.MessageTypes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

class TunnelClientHandlerTests {

	private static final String HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\n\r\n";

	private final FrameCodec codec = new FrameCodec(new MessageTypes(TunnelMessages.types()));

	private final TunnelFrames frames = new TunnelFrames(this.codec);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final RecordingExchange exchange = new RecordingExchange("a-1");

	private final List<String> failures = new ArrayList<>();

	private int connected;

	private TunnelOpening open(Consumer<Channel> onConnected) {
		this.channel.freezeTime();
		TunnelOpening opening = new TunnelOpening("", (opened) -> {
			this.connected++;
			onConnected.accept(opened);
		}, (failure) -> this.failures.add(failure.reason()));
		this.channel.pipeline()
			.addFirst(ReplicaTunnelClient.HANDLER, new TunnelClientHandler(this.codec, opening))
			.addFirst(new LengthFieldBasedFrameDecoder(TunnelFrames.MAX_FRAME_BYTES, 0, 4, 0, 4));
		opening.start(this.channel, 300);
		return opening;
	}

	private void sendRequest(Channel opened) {
		Upstream replica = new Upstream(new UpstreamId("replica"), UpstreamKind.SERVICE, new AvailabilityZone("a"),
				"127.0.0.1", 1, List.of("s"), 1, false, false);
		UpstreamConnection connection = new UpstreamConnection(opened, new RequestTranslator(),
				UpstreamPools.create(opened.eventLoop()), replica, false);
		connection.addTo(opened.pipeline(), ReplicaTunnelClient.HANDLER);
		connection.send(this.exchange);
	}

	private ByteBuf answer(TunnelOutcome outcome) {
		return this.frames.encode(this.codec.frame(FrameKind.ANSWER, new TunnelAnswer(outcome), 1, 0));
	}

	private ByteBuf data(String text) {
		return this.frames.encodeData(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private void receive(ByteBuf frame) {
		this.channel.writeInbound(frame);
		this.channel.runPendingTasks();
	}

	@Nested
	class OpenTunnels {

		// Guards against a request that is sent in another form than over a direct
		// connection.
		@Test
		void wrapRequestIntoFrames() {
			open(TunnelClientHandlerTests.this::sendRequest);
			receive(answer(TunnelOutcome.CONNECTED));
			StringBuilder sent = new StringBuilder();
			ByteBuf bytes = TunnelClientHandlerTests.this.channel.readOutbound();
			while (bytes != null) {
				while (bytes.isReadable()) {
					Frame frame = TunnelClientHandlerTests.this.frames.decode(bytes.readRetainedSlice(bytes.readInt()));
					assertThat(frame.kind(), is(FrameKind.TUNNEL_DATA));
					sent.append(new String(frame.body(), StandardCharsets.US_ASCII));
				}
				bytes = TunnelClientHandlerTests.this.channel.readOutbound();
			}
			assertThat(sent.toString(), is("GET / HTTP/1.1\r\n\r\n"));
		}

		// Guards against memory and delay that a large request takes as a single frame.
		@Test
		void divideLargeWrites() {
			open((opened) -> {
			});
			receive(answer(TunnelOutcome.CONNECTED));
			int size = 1_000_000;
			TunnelClientHandlerTests.this.channel.writeOutbound(Unpooled.wrappedBuffer(new byte[size]));
			ByteBuf bytes = TunnelClientHandlerTests.this.channel.readOutbound();
			int received = 0;
			while (bytes.isReadable()) {
				int length = bytes.readInt();
				assertThat(length, lessThanOrEqualTo(TunnelFrames.MAX_FRAME_BYTES));
				received += TunnelClientHandlerTests.this.frames.decode(bytes.readRetainedSlice(length)).body().length;
			}
			assertThat(received, is(size));
		}

		// Guards against bytes that are lost because they were read together with the
		// answer, before the handlers behind the tunnel were added.
		@Test
		void passOnBytesReadTogetherWithTheAnswer() {
			List<String> received = new ArrayList<>();
			open((opened) -> opened.pipeline()
				.addAfter(ReplicaTunnelClient.HANDLER, "recorder", new ChannelInboundHandlerAdapter() {

					@Override
					public void channelRead(ChannelHandlerContext context, Object message) {
						ByteBuf bytes = (ByteBuf) message;
						received.add(bytes.toString(StandardCharsets.US_ASCII));
						bytes.release();
					}

				}));
			receive(Unpooled.wrappedBuffer(answer(TunnelOutcome.CONNECTED), data("one"), data("two")));
			assertThat(received, contains("one", "two"));
		}

	}

	@Nested
	class ResponsesWithoutLength {

		private void receiveStart() {
			open(TunnelClientHandlerTests.this::sendRequest);
			receive(answer(TunnelOutcome.CONNECTED));
			receive(data(HEAD_WITHOUT_LENGTH + "hel"));
		}

		// Guards against clients that wait forever for the end of a response without a
		// length.
		@Test
		void areCompleteAfterOrderlyEndOfReplica() {
			receiveStart();
			receive(data("lo"));
			receive(TunnelClientHandlerTests.this.frames.encode(FrameKind.TUNNEL_END));
			assertThat(TunnelClientHandlerTests.this.exchange.events(), contains("200", "hel", "lo", "completed"));
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(false));
		}

		// Guards against a truncated response that looks complete because the other
		// gateway died or was partitioned.
		@Test
		void failWhenTunnelClosesWithoutEnd() {
			receiveStart();
			TunnelClientHandlerTests.this.channel.close();
			assertThat(TunnelClientHandlerTests.this.exchange.events(), contains("200", "hel", "broken"));
		}

		// Guards against a truncated response that looks complete because the replica
		// crashed.
		@Test
		void failWhenReplicaIsReset() {
			receiveStart();
			receive(TunnelClientHandlerTests.this.frames.encode(FrameKind.TUNNEL_RESET));
			assertThat(TunnelClientHandlerTests.this.exchange.events(), contains("200", "hel", "broken"));
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(false));
		}

		// Guards against a truncated response that looks complete because the frames of
		// the tunnel are damaged.
		@Test
		void failWhenFrameIsMalformed() {
			receiveStart();
			receive(Unpooled.wrappedBuffer(new byte[] { 0, 0, 0, 3, 'n', 'o', 't' }));
			assertThat(TunnelClientHandlerTests.this.exchange.events(), contains("200", "hel", "broken"));
		}

	}

	@Nested
	class FailedOpenings {

		private ChannelFuture write(String text) {
			return TunnelClientHandlerTests.this.channel
				.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		}

		// Guards against a request that is reported as not run although its bytes may
		// reach the replica.
		@Test
		void sendNothingBeforeTheAnswer() {
			open(TunnelClientHandlerTests.this::sendRequest);
			assertThat(write("GET").isSuccess(), is(false));
			assertThat(TunnelClientHandlerTests.this.channel.<ByteBuf>readOutbound(), is(nullValue()));
			assertThat(TunnelClientHandlerTests.this.connected, is(0));
		}

		// Guards against a refusal that is taken for an open tunnel.
		@ParameterizedTest
		@EnumSource(value = TunnelOutcome.class, mode = EnumSource.Mode.EXCLUDE, names = "CONNECTED")
		void sendNothingAfterRefusal(TunnelOutcome outcome) {
			open(TunnelClientHandlerTests.this::sendRequest);
			receive(answer(outcome));
			assertThat(TunnelClientHandlerTests.this.failures, contains(outcome.name()));
			assertThat(TunnelClientHandlerTests.this.connected, is(0));
			assertThat(TunnelClientHandlerTests.this.channel.<ByteBuf>readOutbound(), is(nullValue()));
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(false));
		}

		// Guards against a gateway of an older version, whose error keeps the caller
		// waiting.
		@Test
		void reportErrorOfOtherInstance() {
			open(TunnelClientHandlerTests.this::sendRequest);
			receive(TunnelClientHandlerTests.this.frames
				.encode(new Frame(FrameKind.ERROR, "", 1, 0, "unknown type".getBytes(StandardCharsets.UTF_8))));
			assertThat(TunnelClientHandlerTests.this.failures, contains("unknown type"));
		}

		// Guards against a caller that waits without limit for a gateway that
		// does not answer.
		@Test
		void reportMissingAnswer() {
			open(TunnelClientHandlerTests.this::sendRequest);
			TunnelClientHandlerTests.this.channel.advanceTimeBy(299, TimeUnit.MILLISECONDS);
			TunnelClientHandlerTests.this.channel.runScheduledPendingTasks();
			assertThat(TunnelClientHandlerTests.this.failures, is(empty()));
			TunnelClientHandlerTests.this.channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
			TunnelClientHandlerTests.this.channel.runScheduledPendingTasks();
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(false));
			assertThat(TunnelClientHandlerTests.this.failures, contains(containsString("no answer")));
		}

		// Guards against an open tunnel that is closed by the time limit of its opening.
		@Test
		void doNotFollowSuccess() {
			open(TunnelClientHandlerTests.this::sendRequest);
			receive(answer(TunnelOutcome.CONNECTED));
			TunnelClientHandlerTests.this.channel.advanceTimeBy(10, TimeUnit.SECONDS);
			TunnelClientHandlerTests.this.channel.runScheduledPendingTasks();
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(true));
			assertThat(TunnelClientHandlerTests.this.failures, is(empty()));
			assertThat(TunnelClientHandlerTests.this.connected, greaterThan(0));
		}

		// Guards against a request that is sent although its caller has left.
		@Test
		void doNotNotifyAfterCancellation() {
			TunnelOpening opening = open(TunnelClientHandlerTests.this::sendRequest);
			opening.cancel();
			assertThat(TunnelClientHandlerTests.this.channel.isOpen(), is(false));
			assertThat(opening.succeed(TunnelClientHandlerTests.this.channel), is(false));
			assertThat(TunnelClientHandlerTests.this.connected, is(0));
			assertThat(TunnelClientHandlerTests.this.failures, is(empty()));
		}

	}

}
