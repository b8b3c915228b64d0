package dev.nutmegdoor.core.peer;

import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Port for messages between instances. Messages can be lost, delayed, duplicated and
 * reordered. Handlers and futures run on the control thread.
 */
public interface PeerTransport {

	/**
	 * Returns the instance that this transport belongs to.
	 * @return the own identifier
	 */
	InstanceId self();

	/**
	 * Sends a message without waiting for an answer; a failure to send is silent.
	 * @param to receiver
	 * @param message the message
	 */
	void send(InstanceId to, PeerMessage message);

	/**
	 * Sends a request and waits for its answer.
	 * @param to receiver
	 * @param message the request
	 * @param answerType type of the answer
	 * @param timeoutMs longest wait in milliseconds
	 * @param <A> type of the answer
	 * @return the answer; fails with {@link PeerException}
	 */
	<A extends PeerMessage> CompletableFuture<A> request(InstanceId to, PeerMessage message, Class<A> answerType,
			long timeoutMs);

	/**
	 * Registers the handler for a type of message; at most one per type.
	 * @param type type of the message
	 * @param handler the handler
	 * @param <M> type of the message
	 */
	<M extends PeerMessage> void subscribe(Class<M> type, PeerHandler<M> handler);

}
