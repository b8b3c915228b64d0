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
	 * Handles a message on the control thread.
	 * @param from sender
	 * @param message the message
	 * @return the answer to a request, or {@code null} if the message expects none
	 */
	@Nullable CompletableFuture<? extends PeerMessage> handle(InstanceId from, M message);

}
