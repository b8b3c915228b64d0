package dev.nutmegdoor.core.peer;

import java.util.Collection;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Port for messages between instances. Messages can be lost, delayed, duplicated and
 * reordered. Handlers and futures run on the control thread.
 */
public interface PeerTransport {

	/**
	 * Returns the identifier of the instance that owns this transport.
	 * @return the sender of all messages of this transport
	 */
	InstanceId self();

	/**
	 * Sends a message without waiting for an answer. Failures to send are not reported.
	 * @param to receiver
	 * @param message message to send
	 */
	void send(InstanceId to, PeerMessage message);

	/**
	 * Sends the same message to several instances, as {@link #send} does.
	 * @param receivers receivers
	 * @param message message to send
	 */
	default void sendAll(Collection<InstanceId> receivers, PeerMessage message) {
		receivers.forEach((receiver) -> send(receiver, message));
	}

	/**
	 * Sends a request.
	 * @param to receiver
	 * @param message request to send
	 * @param answerType expected type of the answer
	 * @param timeoutMs maximum time to wait for the answer in milliseconds
	 * @param <A> type of the answer
	 * @return future of the answer; fails with {@link PeerException}
	 */
	<A extends PeerMessage> CompletableFuture<A> request(InstanceId to, PeerMessage message, Class<A> answerType,
			long timeoutMs);

	/**
	 * Registers the handler for a message type. There is at most one handler per type.
	 * @param type type of the messages to handle
	 * @param handler called for each received message of the type
	 * @param <M> type of the message
	 * @throws IllegalStateException if the type already has a handler
	 */
	<M extends PeerMessage> void subscribe(Class<M> type, PeerHandler<M> handler);

}
