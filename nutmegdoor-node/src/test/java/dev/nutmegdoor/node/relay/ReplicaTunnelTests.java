package dev.nutmegdoor.node.relay;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.tunnel.TunnelAnswer;
import dev.nutmegdoor.core.tunnel.TunnelOutcome;
import dev.nutmegdoor.core.tunnel.TunnelRequest;
import dev.nutmegdoor.protocol.Frame;
import dev.nutmegdoor.protocol.FrameKind;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

/**
 * Drives the side that reaches the replica with frames on a plain socket.
 */
class ReplicaTunnelTests {

	private static final long MANY_BYTES = 64 * 1024 * 1024;

	/** Reads and frames that are under way in addition to the limit of Netty. */
	private static final long MAX_PENDING_BYTES = 512 * 1024;

	private final TunnelPeers peers = new TunnelPeers();

	private final TunnelFrames frames = new TunnelFrames(this.peers.codec);

	private final Socket socket = new Socket();

	ReplicaTunnelTests() throws IOException {
		this.socket.setSoTimeout(TunnelPeers.TIMEOUT_MS);
		this.socket.connect(this.peers.address);
	}

	@AfterEach
	void close() throws IOException {
		this.socket.close();
		this.peers.close();
	}

	private void write(ByteBuf frame) throws IOException {
		this.socket.getOutputStream().write(ByteBufUtil.getBytes(frame));
	}

	private Frame read() throws IOException {
		DataInputStream input = new DataInputStream(this.socket.getInputStream());
		byte[] envelope = new byte[input.readInt()];
		input.readFully(envelope);
		return this.peers.codec.decode(envelope);
	}

	private ByteBuf request(String replica, long timeLeftMs) {
		return Unpooled.wrappedBuffer(
				this.frames.encode(Frame.hello(TunnelPeers.SELF.value(), TunnelPeers.OTHER.value(),
						"secret".getBytes(StandardCharsets.UTF_8))),
				this.frames
					.encode(this.peers.codec.frame(FrameKind.REQUEST, new TunnelRequest(replica, timeLeftMs), 7, 300)));
	}

	private ByteBuf data(String text) {
		return this.frames.encodeData(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	private TunnelOutcome readOutcome() throws IOException {
		Frame frame = read();
		assertThat(frame.correlationId(), is(7L));
		return ((TunnelAnswer) Objects.requireNonNull(this.peers.codec.message(frame))).outcome();
	}

	private Socket open(long timeLeftMs) throws IOException {
		write(request("replica", timeLeftMs));
		Socket replica = this.peers.acceptAtReplica();
		assertThat(readOutcome(), is(TunnelOutcome.CONNECTED));
		return replica;
	}

	private static String text(Frame frame) {
		return new String(frame.body(), StandardCharsets.US_ASCII);
	}

	private void awaitNoTunnels() {
		TunnelPeers.await(() -> this.peers.server.openTunnels() == 0);
	}

	@Nested
	class OpenTunnels {

		// Guards against bytes that wait until more of them arrive.
		@Test
		void passBytesAsTheyCome() throws IOException {
			try (Socket replica = open(60_000)) {
				for (int i = 0; i < 100; i++) {
					write(data("q"));
					assertThat(replica.getInputStream().read(), is((int) 'q'));
					replica.getOutputStream().write('a');
					assertThat(text(read()), is("a"));
				}
			}
			assertThat(ReplicaTunnelTests.this.peers.events.size(), is(1));
			assertThat(ReplicaTunnelTests.this.peers.events.element(), startsWith("tunnel.opened"));
		}

		// Guards against a response whose last bytes or whose end is lost as the replica
		// closes the connection.
		@Test
		void passOnOrderlyEnd() throws IOException {
			Socket replica = open(60_000);
			replica.getOutputStream().write("bye".getBytes(StandardCharsets.US_ASCII));
			replica.close();
			StringBuilder received = new StringBuilder();
			Frame frame = read();
			while (frame.kind() == FrameKind.TUNNEL_DATA) {
				received.append(text(frame));
				frame = read();
			}
			assertThat(received.toString(), is("bye"));
			assertThat(frame.kind(), is(FrameKind.TUNNEL_END));
			ReplicaTunnelTests.this.socket.close();
			awaitNoTunnels();
		}

		// Guards against a truncated response that looks complete because a crash of the
		// replica is taken for its end.
		@Test
		void passOnReset() throws IOException {
			Socket replica = open(60_000);
			replica.setSoLinger(true, 0);
			replica.close();
			assertThat(read().kind(), is(FrameKind.TUNNEL_RESET));
		}

		// Guards against a truncated response that looks complete because the stop of the
		// gateway closes the connection to the replica, which is taken for its end.
		@Test
		void doNotEndWhenConnectionIsClosedOnThisSide() throws IOException {
			open(60_000);
			Objects.requireNonNull(ReplicaTunnelTests.this.peers.replicaChannel.get()).close();
			assertThat(read().kind(), is(FrameKind.TUNNEL_RESET));
		}

		// Guards against a replica that works for a caller that has left.
		@Test
		void closeReplicaWhenPeerCloses() throws IOException {
			try (Socket replica = open(60_000)) {
				ReplicaTunnelTests.this.socket.close();
				assertThat(replica.getInputStream().read(), is(-1));
			}
			awaitNoTunnels();
		}

		// Guards against a tunnel that stays open because the other instance is cut off.
		@Test
		void closeAfterDeadline() throws IOException {
			try (Socket replica = open(1)) {
				assertThat(replica.getInputStream().read(), is(-1));
			}
			awaitNoTunnels();
		}

		// Guards against a drain that breaks requests in tunnels or doesn't wait for
		// them.
		@Test
		void outliveBeginOfDrain() throws IOException {
			try (Socket replica = open(60_000)) {
				ReplicaTunnelTests.this.peers.isAvailable = false;
				write(data("q"));
				assertThat(replica.getInputStream().read(), is((int) 'q'));
				assertThat(ReplicaTunnelTests.this.peers.server.openTunnels(), is(1));
			}
		}

	}

	@Nested
	class Backpressure {

		// Guards against memory that a response takes while its client reads slowly, and
		// against reading that never resumes.
		@Test
		void stopsReadingReplica() throws Exception {
			Socket replica = open(600_000);
			Channel replicaChannel = Objects.requireNonNull(ReplicaTunnelTests.this.peers.replicaChannel.get());
			Channel peerChannel = Objects.requireNonNull(ReplicaTunnelTests.this.peers.peerChannel.get());
			TunnelPeers.await(() -> replicaChannel.config().isAutoRead());
			CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> writeMany(replica));
			TunnelPeers.await(() -> !replicaChannel.config().isAutoRead());
			long received = 0;
			Frame frame;
			for (frame = read(); frame.kind() == FrameKind.TUNNEL_DATA; frame = read()) {
				received += frame.body().length;
				long pending = peerChannel.eventLoop().submit(() -> pendingBytes(peerChannel)).get();
				assertThat(pending, is(lessThan(MAX_PENDING_BYTES)));
			}
			assertThat(received, is(MANY_BYTES));
			assertThat(frame.kind(), is(FrameKind.TUNNEL_END));
			writing.get();
		}

		// Guards against memory that a request takes while the replica reads slowly, and
		// against reading that never resumes.
		@Test
		void stopsReadingPeer() throws Exception {
			Socket replica = open(600_000);
			Channel replicaChannel = Objects.requireNonNull(ReplicaTunnelTests.this.peers.replicaChannel.get());
			Channel peerChannel = Objects.requireNonNull(ReplicaTunnelTests.this.peers.peerChannel.get());
			TunnelPeers.await(() -> replicaChannel.config().isAutoRead());
			CompletableFuture<Void> writing = CompletableFuture.runAsync(this::writeManyFrames);
			TunnelPeers.await(() -> !peerChannel.config().isAutoRead());
			byte[] buffer = new byte[64 * 1024];
			long received = 0;
			while (received < MANY_BYTES) {
				int count = replica.getInputStream().read(buffer);
				assertThat(count > 0, is(true));
				received += count;
				long pending = peerChannel.eventLoop().submit(() -> pendingBytes(replicaChannel)).get();
				assertThat(pending, is(lessThan(MAX_PENDING_BYTES)));
			}
			assertThat(received, is(MANY_BYTES));
			writing.get();
			replica.close();
		}

		private long pendingBytes(Channel channel) {
			return (channel.unsafe().outboundBuffer() != null)
					? channel.unsafe().outboundBuffer().totalPendingWriteBytes() : 0;
		}

		private void writeMany(Socket replica) {
			try (replica) {
				byte[] buffer = new byte[64 * 1024];
				for (long sent = 0; sent < MANY_BYTES; sent += buffer.length) {
					replica.getOutputStream().write(buffer);
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

		private void writeManyFrames() {
			try {
				OutputStream output = ReplicaTunnelTests.this.socket.getOutputStream();
				byte[] bytes = ByteBufUtil.getBytes(ReplicaTunnelTests.this.frames
					.encodeData(Unpooled.wrappedBuffer(new byte[TunnelFrames.MAX_DATA_BYTES])));
				for (long sent = 0; sent < MANY_BYTES; sent += TunnelFrames.MAX_DATA_BYTES) {
					output.write(bytes);
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

	@Nested
	class RefusedTunnels {

		private void refuse(String replica, TunnelOutcome outcome) throws IOException {
			write(request(replica, 60_000));
			assertThat(readOutcome(), is(outcome));
			assertThat(ReplicaTunnelTests.this.socket.getInputStream().read(), is(-1));
			awaitNoTunnels();
			assertThat(ReplicaTunnelTests.this.peers.events.size(), is(1));
			assertThat(ReplicaTunnelTests.this.peers.events.element(), startsWith("tunnel.refused"));
		}

		// Guards against a gateway that is made to connect to any address.
		@Test
		void areThoseToUnlistedReplicas() throws IOException {
			refuse("stranger", TunnelOutcome.UNKNOWN_REPLICA);
		}

		// Guards against a connection that fails at an identifier that can't exist.
		@Test
		void areThoseToInvalidIdentifiers() throws IOException {
			refuse("no/replica", TunnelOutcome.UNKNOWN_REPLICA);
		}

		// Guards against new work for a replica that is leaving.
		@Test
		void areThoseToLeavingReplicas() throws IOException {
			ReplicaTunnelTests.this.peers.add("replica", ReplicaTunnelTests.this.peers.replicaListener.getLocalPort(),
					true);
			refuse("replica", TunnelOutcome.UNKNOWN_REPLICA);
		}

		// Guards against a gateway that waits for a replica that doesn't run.
		@Test
		void areThoseToUnreachableReplicas() throws IOException {
			int port;
			try (ServerSocket closed = new ServerSocket(0)) {
				port = closed.getLocalPort();
			}
			ReplicaTunnelTests.this.peers.add("stopped", port, false);
			refuse("stopped", TunnelOutcome.REPLICA_UNREACHABLE);
		}

		// Guards against a drain that never ends because of new tunnels.
		@Test
		void areAllWhileDraining() throws IOException {
			ReplicaTunnelTests.this.peers.isAvailable = false;
			refuse("replica", TunnelOutcome.UNAVAILABLE);
		}

		// Guards against bytes of a request that reach the replica although its sender
		// may conclude that it has not run.
		@Test
		void areThoseWithBytesBeforeTheAnswer() throws IOException {
			write(Unpooled.wrappedBuffer(request("replica", 60_000), data("GET")));
			assertThat(ReplicaTunnelTests.this.socket.getInputStream().read(), is(-1));
			awaitNoTunnels();
			// A marker follows on a connection that the replica accepts last.
			ServerSocket listener = ReplicaTunnelTests.this.peers.replicaListener;
			try (Socket last = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
				last.getOutputStream().write('m');
				int first = -1;
				while (first == -1) {
					try (Socket accepted = ReplicaTunnelTests.this.peers.acceptAtReplica()) {
						first = accepted.getInputStream().read();
					}
				}
				assertThat(first, is((int) 'm'));
			}
		}

	}

}
