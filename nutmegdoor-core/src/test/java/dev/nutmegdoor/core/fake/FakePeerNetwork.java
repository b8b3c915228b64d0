package dev.nutmegdoor.core.fake;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerHandler;
import dev.nutmegdoor.core.peer.PeerMessage;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Network between simulated instances on virtual time. It simulates loss, delay,
 * duplication and reordering of messages, and network partitions between zones or
 * instances.
 */
public final class FakePeerNetwork {

	private final UniformRandomProvider random;

	private final Map<InstanceId, Endpoint> endpoints = new LinkedHashMap<>();

	private final Set<String> partitionedPairs = new HashSet<>();

	private final Map<InstanceId, Long> additionalDelaysMs = new HashMap<>();

	private LinkSettings settings;

	private long sentMessages;

	private Consumer<PeerMessage> messageObserver = (message) -> {
	};

	public FakePeerNetwork(UniformRandomProvider random, LinkSettings settings) {
		this.random = random;
		this.settings = settings;
	}

	/**
	 * Adds a host to the network.
	 * @param host host that sends and receives messages
	 * @return its transport
	 */
	public PeerTransport join(FakeHost host) {
		Endpoint endpoint = new Endpoint(host);
		this.endpoints.put(host.id(), endpoint);
		return endpoint;
	}

	public void setSettings(LinkSettings settings) {
		this.settings = settings;
	}

	/**
	 * Starts or ends a network partition between two zones, in both directions.
	 * @param first a zone
	 * @param second another zone
	 * @param isPartitioned whether messages between them are dropped
	 */
	public void setCut(AvailabilityZone first, AvailabilityZone second, boolean isPartitioned) {
		setPairPartitioned("zone:" + first, "zone:" + second, isPartitioned);
	}

	/**
	 * Starts or ends a network partition between two instances, in both directions.
	 * @param first an instance
	 * @param second another instance
	 * @param isPartitioned whether messages between them are dropped
	 */
	public void setCut(InstanceId first, InstanceId second, boolean isPartitioned) {
		setPairPartitioned("instance:" + first, "instance:" + second, isPartitioned);
	}

	/**
	 * Sets the additional delay of the messages that an instance sends or receives.
	 * @param id an instance
	 * @param delayMs additional delay in milliseconds, 0 for none
	 */
	public void setAdditionalDelay(InstanceId id, long delayMs) {
		this.additionalDelaysMs.put(id, delayMs);
	}

	/**
	 * Sets the observer of all messages, including answers and messages that are lost.
	 * @param messageObserver called when a message is sent
	 */
	public void setObserver(Consumer<PeerMessage> messageObserver) {
		this.messageObserver = messageObserver;
	}

	public long sentMessages() {
		return this.sentMessages;
	}

	private void setPairPartitioned(String first, String second, boolean isPartitioned) {
		if (isPartitioned) {
			this.partitionedPairs.add(first + "|" + second);
			this.partitionedPairs.add(second + "|" + first);
		}
		else {
			this.partitionedPairs.remove(first + "|" + second);
			this.partitionedPairs.remove(second + "|" + first);
		}
	}

	private boolean isPartitioned(FakeHost from, FakeHost to) {
		return this.partitionedPairs.contains("zone:" + from.availabilityZone() + "|zone:" + to.availabilityZone())
				|| this.partitionedPairs.contains("instance:" + from.id() + "|instance:" + to.id());
	}

	private void transmit(FakeHost from, InstanceId to, Runnable delivery) {
		this.sentMessages++;
		Endpoint receiver = this.endpoints.get(to);
		if (receiver == null || isPartitioned(from, receiver.host)) {
			return;
		}
		if (this.random.nextDouble() < this.settings.lossProbability()) {
			return;
		}
		int copies = (this.random.nextDouble() < this.settings.duplicateProbability()) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			// The receiver's timer delivers the message, so that it arrives even if its
			// sender crashes in the meantime.
			receiver.host.schedule(delayMs(from, receiver.host), delivery);
		}
	}

	private long delayMs(FakeHost from, FakeHost to) {
		boolean isSameZone = from.availabilityZone().equals(to.availabilityZone());
		long baseMs = isSameZone ? this.settings.zoneDelayMs() : this.settings.crossZoneDelayMs();
		long jitterMs = this.settings.jitterMs();
		long additionalMs = this.additionalDelaysMs.getOrDefault(from.id(), 0L)
				+ this.additionalDelaysMs.getOrDefault(to.id(), 0L);
		return baseMs + additionalMs + ((jitterMs > 0) ? this.random.nextLong(jitterMs + 1) : 0);
	}

	private final class Endpoint implements PeerTransport {

		private final FakeHost host;

		private final Map<Class<?>, PeerHandler<?>> handlers = new HashMap<>();

		private Endpoint(FakeHost host) {
			this.host = host;
		}

		@Override
		public InstanceId self() {
			return this.host.id();
		}

		@Override
		public void send(InstanceId to, PeerMessage message) {
			InstanceId from = self();
			FakePeerNetwork.this.messageObserver.accept(message);
			transmit(this.host, to, () -> {
				Endpoint receiver = FakePeerNetwork.this.endpoints.get(to);
				if (receiver != null) {
					receiver.handle(from, message);
				}
			});
		}

		@Override
		public <A extends PeerMessage> CompletableFuture<A> request(InstanceId to, PeerMessage message,
				Class<A> answerType, long timeoutMs) {
			CompletableFuture<A> result = new CompletableFuture<>();
			InstanceId from = self();
			this.host.schedule(timeoutMs, () -> result.completeExceptionally(
					new PeerException(PeerFailure.TIMEOUT, "no answer from " + to + " within " + timeoutMs + " ms")));
			FakePeerNetwork.this.messageObserver.accept(message);
			transmit(this.host, to, () -> {
				Endpoint receiver = FakePeerNetwork.this.endpoints.get(to);
				if (receiver == null) {
					return;
				}
				CompletableFuture<? extends PeerMessage> answer = receiver.handle(from, message);
				if (answer != null) {
					answer.whenComplete((value, error) -> receiver.reply(this, result, answerType, value, error));
				}
			});
			return result;
		}

		private <A extends PeerMessage> void reply(Endpoint requester, CompletableFuture<A> result, Class<A> answerType,
				@Nullable PeerMessage value, @Nullable Throwable error) {
			if (value != null) {
				FakePeerNetwork.this.messageObserver.accept(value);
			}
			transmit(this.host, requester.self(), () -> {
				if (answerType.isInstance(value)) {
					result.complete(answerType.cast(value));
				}
				else {
					String cause = (error != null) ? String.valueOf(error.getMessage()) : "unexpected type of answer";
					result.completeExceptionally(new PeerException(PeerFailure.REMOTE_ERROR, cause));
				}
			});
		}

		@Override
		public <M extends PeerMessage> void subscribe(Class<M> type, PeerHandler<M> handler) {
			if (this.handlers.putIfAbsent(type, handler) != null) {
				throw new IllegalStateException("a handler for " + type.getSimpleName() + " is registered already");
			}
		}

		@SuppressWarnings("unchecked")
		private @Nullable CompletableFuture<? extends PeerMessage> handle(InstanceId from, PeerMessage message) {
			PeerHandler<PeerMessage> handler = (PeerHandler<PeerMessage>) this.handlers.get(message.getClass());
			return (handler != null) ? handler.handle(from, message) : null;
		}

	}

}
