package dev.nutmegdoor.core.peer;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Handles messages of one type.
 *
 * @param <M> type of the message
 */
@FunctionalInterface
public interface PeerHandler<M extends PeerMessage> {

	/**
	 * Handles a message. Called on the control thread.
	 * @param from instance that sent the message
	 * @param message received message
	 * @return future of the answer to a request, or {@code null} if no answer is sent
	 */
	@Nullable CompletableFuture<? extends PeerMessage> handle(InstanceId from, M message);

}
