package dev.nutmegdoor.standin.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import reactor.netty.resources.LoopResources;

import dev.nutmegdoor.core.conversation.StoredTurn;
import dev.nutmegdoor.core.conversation.TurnChain;
import dev.nutmegdoor.core.conversation.TurnKey;
import dev.nutmegdoor.core.conversation.TurnMessages;
import dev.nutmegdoor.core.conversation.TurnQuery;
import dev.nutmegdoor.core.conversation.TurnStore;
import dev.nutmegdoor.core.conversation.TurnStored;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.node.control.ControlThread;
import dev.nutmegdoor.node.peer.PeerAddresses;
import dev.nutmegdoor.node.peer.PeerTransportSettings;
import dev.nutmegdoor.node.peer.TcpPeerTransport;
import dev.nutmegdoor.protocol.FrameCodec;
import dev.nutmegdoor.protocol.MessageTypes;

/**
 * Process that keeps turns in memory and whose answers a test can hold back or turn into
 * errors.
 */
final class TurnMemberServer implements AutoCloseable {

	private static final long CALL_LIMIT_S = 20;

	private final ControlThread control = new ControlThread("turn-member");

	private final LoopResources loops = LoopResources.create("turn-member", 1, true);

	private final TcpPeerTransport transport;

	private final Map<TurnKey, StoredTurn> turns = new LinkedHashMap<>();

	private final List<Runnable> heldAnswers = new ArrayList<>();

	private boolean isHolding;

	private boolean isRefusing;

	private boolean isComplete = true;

	TurnMemberServer(String name, int port) {
		this.transport = new TcpPeerTransport(new InstanceId(name),
				new PeerTransportSettings(GatewayEnvironment.HOST, port, "",
						PeerTransportSettings.DEFAULT_MAX_QUEUED_FRAMES,
						PeerTransportSettings.DEFAULT_CONNECT_TIMEOUT_MS),
				new FrameCodec(new MessageTypes(TurnMessages.types())), this.control, new NoAddresses(), this.loops);
		this.transport.subscribe(TurnStore.class, (from, message) -> store(message.turn()));
		this.transport.subscribe(TurnQuery.class, (from, message) -> query(message.key()));
		this.transport.start();
	}

	private CompletableFuture<TurnStored> store(StoredTurn turn) {
		if (this.isRefusing) {
			return CompletableFuture.failedFuture(new IllegalStateException("the disk is full"));
		}
		this.turns.put(turn.key(), turn);
		CompletableFuture<TurnStored> answer = new CompletableFuture<>();
		if (this.isHolding) {
			this.heldAnswers.add(() -> answer.complete(new TurnStored(turn.key())));
		}
		else {
			answer.complete(new TurnStored(turn.key()));
		}
		return answer;
	}

	private CompletableFuture<TurnChain> query(TurnKey key) {
		if (this.isHolding) {
			return new CompletableFuture<>();
		}
		List<StoredTurn> chain = new ArrayList<>();
		String nextId = key.id();
		for (StoredTurn turn = this.turns.get(key); turn != null; turn = (nextId != null)
				? this.turns.get(new TurnKey(key.workspace(), nextId)) : null) {
			chain.add(turn);
			nextId = turn.previousId();
		}
		return CompletableFuture
			.completedFuture(new TurnChain(this.isComplete, chain, chain.isEmpty() ? null : nextId, List.of()));
	}

	void setHolding(boolean isHolding) {
		run(() -> {
			this.isHolding = isHolding;
			if (!isHolding) {
				this.heldAnswers.forEach(Runnable::run);
				this.heldAnswers.clear();
			}
		});
	}

	void setRefusing(boolean isRefusing) {
		run(() -> this.isRefusing = isRefusing);
	}

	void setComplete(boolean isComplete) {
		run(() -> this.isComplete = isComplete);
	}

	boolean hasTurn(String id) throws Exception {
		return this.control.call(() -> this.turns.keySet().stream().anyMatch((key) -> key.id().equals(id)))
			.get(CALL_LIMIT_S, TimeUnit.SECONDS);
	}

	private void run(Runnable task) {
		this.control.call(() -> {
			task.run();
			return true;
		}).orTimeout(CALL_LIMIT_S, TimeUnit.SECONDS).join();
	}

	@Override
	public void close() {
		this.transport.close();
		this.control.close();
		this.loops.dispose();
	}

	/** Addresses of a process that sends no requests. */
	private static final class NoAddresses implements PeerAddresses {

		@Override
		public InetSocketAddress addressOf(InstanceId id) {
			return null;
		}

	}

}
