package dev.nutmegdoor.node.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.InstanceId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class ReplicaTunnelClientTests {

	private final TunnelPeers peers = new TunnelPeers();

	private final Upstream replica = this.peers.add("replica", this.peers.replicaListener.getLocalPort(), false);

	private final LoopResources loops = LoopResources.create("self", 1, true);

	// The time limit is that of a test; the limit itself is tested on virtual time.
	private final ReplicaTunnelClient client = new ReplicaTunnelClient(TunnelPeers.SELF, "secret", this.peers.codec,
			this.loops, (instance) -> true, TunnelPeers.TIMEOUT_MS);

	private final CompletableFuture<Channel> connected = new CompletableFuture<>();

	private final CompletableFuture<String> failed = new CompletableFuture<>();

	private final Queue<String> received = new ConcurrentLinkedQueue<>();

	ReplicaTunnelClientTests() throws IOException {
	}

	@AfterEach
	void close() throws IOException {
		this.loops.dispose();
		this.peers.close();
	}

	private Disposable open(InstanceId peer, InetSocketAddress address) {
		return this.client.open(peer, address, this.replica, 60_000, (channel) -> {
			channel.pipeline().addAfter(ReplicaTunnelClient.HANDLER, "recorder", new Recorder());
			this.connected.complete(channel);
		}, (failure) -> this.failed.complete(failure.reason()));
	}

	private Channel channel() throws Exception {
		return this.connected.get(TunnelPeers.TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private String failure() throws Exception {
		return this.failed.get(TunnelPeers.TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private void awaitReceived(int count) {
		TunnelPeers.await(() -> this.received.size() >= count);
	}

	// Guards against a tunnel that changes a request or response, or that doesn't end
	// with the connection of the replica.
	@Test
	void carriesRequestAndResponse() throws Exception {
		Disposable opening = open(TunnelPeers.OTHER, this.peers.address);
		Channel channel = channel();
		opening.dispose();
		try (Socket socket = this.peers.acceptAtReplica()) {
			channel.writeAndFlush(Unpooled.copiedBuffer("ping", StandardCharsets.US_ASCII));
			assertThat(new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII), is("ping"));
			socket.getOutputStream().write("pong".getBytes(StandardCharsets.US_ASCII));
			awaitReceived(1);
		}
		awaitReceived(2);
		assertThat(this.received, contains("pong", "inactive"));
		TunnelPeers.await(() -> this.peers.server.openTunnels() == 0);
	}

	// Guards against a truncated response that looks complete because the gateway that
	// carries it stops.
	@Test
	void failsWhenOtherInstanceStops() throws Exception {
		open(TunnelPeers.OTHER, this.peers.address);
		channel();
		try (Socket socket = this.peers.acceptAtReplica()) {
			socket.getOutputStream().write('x');
			awaitReceived(1);
			this.peers.otherLoops.dispose();
			awaitReceived(3);
			assertThat(this.received, contains("x", "exception", "inactive"));
		}
	}

	// Guards against a truncated response that looks complete because the replica
	// crashed.
	@Test
	void failsWhenReplicaIsReset() throws Exception {
		open(TunnelPeers.OTHER, this.peers.address);
		channel();
		try (Socket socket = this.peers.acceptAtReplica()) {
			socket.getOutputStream().write('x');
			awaitReceived(1);
			socket.setSoLinger(true, 0);
		}
		awaitReceived(3);
		assertThat(this.received, contains("x", "exception", "inactive"));
	}

	// Guards against a replica that works on a request whose caller has left.
	@Test
	void closesReplicaWithChannel() throws Exception {
		open(TunnelPeers.OTHER, this.peers.address);
		try (Socket socket = this.peers.acceptAtReplica()) {
			channel().close();
			assertThat(socket.getInputStream().read(), is(-1));
		}
	}

	// Guards against a refusal that leaves the caller waiting.
	@Test
	void reportsRefusal() throws Exception {
		this.peers.isAvailable = false;
		open(TunnelPeers.OTHER, this.peers.address);
		assertThat(failure(), containsString("UNAVAILABLE"));
		assertThat(this.connected.isDone(), is(false));
	}

	// Guards against a tunnel through an instance that runs at the address of its
	// predecessor and whose state is not the one that was reported.
	@Test
	void reportsOtherInstanceAtTheAddress() throws Exception {
		open(new InstanceId("i-2-before"), this.peers.address);
		assertThat(failure(), containsString("has ended"));
	}

	// Guards against a caller that waits for an instance that doesn't run.
	@Test
	void reportsUnreachableInstance() throws Exception {
		int port;
		try (ServerSocket closed = new ServerSocket(0)) {
			port = closed.getLocalPort();
		}
		open(TunnelPeers.OTHER, new InetSocketAddress("127.0.0.1", port));
		assertThat(failure(), containsString("no tunnel to replica through i-2"));
	}

	// Guards against a connection that stays open after its opening was cancelled.
	@Test
	void closesCancelledOpening() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
			silent.setSoTimeout(TunnelPeers.TIMEOUT_MS);
			Disposable opening = open(TunnelPeers.OTHER, new InetSocketAddress("127.0.0.1", silent.getLocalPort()));
			try (Socket accepted = silent.accept()) {
				accepted.setSoTimeout(TunnelPeers.TIMEOUT_MS);
				assertThat(accepted.getInputStream().read(), is(0));
				opening.dispose();
				accepted.getInputStream().readAllBytes();
			}
		}
		assertThat(this.connected.isDone(), is(false));
		assertThat(this.failed.isDone(), is(false));
		assertThat(this.received, is(empty()));
	}

	/**
	 * Records what the handlers behind the tunnel see.
	 */
	private final class Recorder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf bytes = (ByteBuf) message;
			ReplicaTunnelClientTests.this.received.add(bytes.toString(StandardCharsets.US_ASCII));
			bytes.release();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			ReplicaTunnelClientTests.this.received.add((cause instanceof IOException) ? "exception" : "other");
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			ReplicaTunnelClientTests.this.received.add("inactive");
		}

	}

}
