package dev.nutmegdoor.node.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.protocol.FrameCodec;
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
		FrameCodec codec = new FrameCodec(new MessageTypes(List.of(Ask.class, Answer.class, Notice.class)));
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

	record Notice(int number) implements PeerMessage {
	}

	record Ask(int number) implements PeerMessage {
	}

	record Answer(int number) implements PeerMessage {
	}

}
