package dev.nutmegdoor.node.peer;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.FrameKind;
import dev.nutmegdoor.protocol.MessageTypes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TcpPeerTransportTests {

	private static final InstanceId ONE = new InstanceId("i-1");

	private static final InstanceId TWO = new InstanceId("i-2");

	private final Map<InstanceId, InetSocketAddress> addresses = new ConcurrentHashMap<>();

	private final Set<InstanceId> namedAddresses = ConcurrentHashMap.newKeySet();

	private final ControlThread control = new ControlThread("test-control");

	private final TcpPeerTransport one = transport(ONE, "secret");

	private final TcpPeerTransport two = transport(TWO, "secret");

	private TcpPeerTransport transport(InstanceId id, String secret) {
		FrameCodec codec = new FrameCodec(new MessageTypes(
				List.of(Ask.class, Answer.class, Notice.class, TunnelRequest.class, TunnelAnswer.class)));
		return new TcpPeerTransport(id, new PeerTransportSettings("127.0.0.1", 0, secret, 64, 1_000), codec,
				this.control, new PeerAddresses() {

					@Override
					public @Nullable InetSocketAddress addressOf(InstanceId instance) {
						return TcpPeerTransportTests.this.addresses.get(instance);
					}

					@Override
					public boolean isIdentityKnown(InstanceId instance) {
						return !TcpPeerTransportTests.this.namedAddresses.contains(instance);
					}

				});
	}

	@BeforeEach
	void startTransports() {
		this.addresses.put(ONE, new InetSocketAddress("127.0.0.1", this.one.start()));
		this.addresses.put(TWO, new InetSocketAddress("127.0.0.1", this.two.start()));
		this.two.subscribe(Ask.class, (from, ask) -> CompletableFuture.completedFuture(new Answer(ask.number() * 2)));
	}

	@AfterEach
	void stopTransports() {
		this.one.close();
		this.two.close();
		this.control.close();
	}

	private static PeerFailure failureOf(CompletableFuture<?> future) {
		ExecutionException ex = assertThrows(ExecutionException.class, future::get);
		return ((PeerException) ex.getCause()).failure();
	}

	// Guards against answers that reach the request of another caller.
	@Test
	void matchesAnswersToTheirRequests() throws Exception {
		for (int i = 0; i < 100; i++) {
			CompletableFuture<Answer> first = this.one.request(TWO, new Ask(i), Answer.class, 10_000);
			CompletableFuture<Answer> second = this.one.request(TWO, new Ask(i + 1_000), Answer.class, 10_000);
			assertThat(second.get().number(), is(2 * (i + 1_000)));
			assertThat(first.get().number(), is(2 * i));
		}
	}

	// Guards against timers of answered requests that stay until the timeout and wake the
	// control thread for nothing.
	@Test
	void leavesNoTimerAfterAnswers() throws Exception {
		for (int i = 0; i < 10; i++) {
			this.one.request(TWO, new Ask(i), Answer.class, 10_000).get();
		}
		assertThat(failureOf(this.one.request(new InstanceId("i-9"), new Ask(1), Answer.class, 10_000)),
				is(PeerFailure.NOT_SENT));
		assertThat(this.control.call(this.control::queuedTasks).get(), is(0));
	}

	// Guards against a request to an unknown instance that never ends.
	@Test
	void reportsThatNothingWasSentToAnUnknownInstance() {
		CompletableFuture<Answer> answer = this.one.request(new InstanceId("i-9"), new Ask(1), Answer.class, 10_000);
		assertThat(failureOf(answer), is(PeerFailure.NOT_SENT));
	}

	// Guards against a receiver of an older version that leaves requests hanging.
	@Test
	void reportsAMissingHandlerAsRemoteError() {
		CompletableFuture<Ask> answer = this.one.request(TWO, new Answer(1), Ask.class, 10_000);
		assertThat(failureOf(answer), is(PeerFailure.REMOTE_ERROR));
	}

	// Guards against processes of another deployment that are taken for peers.
	@Test
	void refusesAPeerWithAnotherSecret() {
		TcpPeerTransport stranger = transport(new InstanceId("i-3"), "other");
		CompletableFuture<Answer> answer = stranger.request(TWO, new Ask(1), Answer.class, 10_000);
		assertThat(failureOf(answer), is(PeerFailure.TIMEOUT));
		stranger.close();
	}

	// Guards against a restarted instance that answers for the one that ran before it at
	// the same address.
	@Test
	void rejectsMessagesForThePredecessorAtItsAddress() throws Exception {
		InstanceId predecessor = new InstanceId("i-2-before");
		this.addresses.put(predecessor, Objects.requireNonNull(this.addresses.get(TWO)));
		AtomicInteger notices = new AtomicInteger();
		this.two.subscribe(Notice.class, (from, notice) -> {
			notices.incrementAndGet();
			return null;
		});
		this.one.send(predecessor, new Notice(1));
		CompletableFuture<Answer> answer = this.one.request(predecessor, new Ask(1), Answer.class, 10_000);
		assertThat(failureOf(answer), is(PeerFailure.REMOTE_ERROR));
		assertThat(this.one.request(TWO, new Ask(1), Answer.class, 10_000).get().number(), is(2));
		assertThat(notices.get(), is(0));
	}

	// Guards against a starting instance that can't query a seed, of which it knows only
	// the address.
	@Test
	void answersInstanceThatKnowsOnlyTheAddress() throws Exception {
		InstanceId seed = new InstanceId("seed-2");
		this.addresses.put(seed, Objects.requireNonNull(this.addresses.get(TWO)));
		this.namedAddresses.add(seed);
		assertThat(this.one.request(seed, new Ask(1), Answer.class, 10_000).get().number(), is(2));
	}

	// Guards against a process without tunnels that leaves a request for one hanging.
	@Test
	void reportsTunnelRequestWithoutAcceptorAsRemoteError() {
		CompletableFuture<TunnelAnswer> answer = this.one.request(TWO, new TunnelRequest("replica", 1_000),
				TunnelAnswer.class, 10_000);
		assertThat(failureOf(answer), is(PeerFailure.REMOTE_ERROR));
	}

	// Guards against bytes of a tunnel that are lost because they were read together with
	// the request for it, before its handler was in the pipeline.
	@Test
	void passesFramesAfterTunnelRequestToItsHandler() throws Exception {
		CompletableFuture<String> accepted = new CompletableFuture<>();
		CompletableFuture<byte[]> received = new CompletableFuture<>();
		this.two.acceptTunnels((from, correlationId, request) -> {
			accepted.complete(from + " " + correlationId + " " + request);
			return new SimpleChannelInboundHandler<ByteBuf>() {

				@Override
				protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
					received.complete(ByteBufUtil.getBytes(frame));
				}

			};
		});
		FrameCodec codec = new FrameCodec(new MessageTypes(List.of(TunnelRequest.class)));
		TunnelRequest request = new TunnelRequest("replica", 1_000);
		byte[] data = codec.encode(new Frame(FrameKind.TUNNEL_DATA, "", 0, 0, new byte[] { 1, 2 }));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream frames = new DataOutputStream(bytes);
		for (byte[] envelope : List.of(
				codec.encode(Frame.hello(ONE.value(), TWO.value(), "secret".getBytes(StandardCharsets.UTF_8))),
				codec.encode(codec.frame(FrameKind.REQUEST, request, 7, 300)), data)) {
			frames.writeInt(envelope.length);
			frames.write(envelope);
		}
		InetSocketAddress address = Objects.requireNonNull(this.addresses.get(TWO));
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			socket.getOutputStream().write(bytes.toByteArray());
			assertThat(accepted.get(30, TimeUnit.SECONDS), is(ONE + " 7 " + request));
			assertThat(received.get(30, TimeUnit.SECONDS), is(data));
		}
	}

	record Notice(int number) implements PeerMessage {
	}

	record Ask(int number) implements PeerMessage {
	}

	record Answer(int number) implements PeerMessage {
	}

}
