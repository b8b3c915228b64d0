package dev.nutmegdoor.core.usage;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.limit.Admission;
import dev.nutmegdoor.core.limit.RequestStage;

/**
 * Requests of a workspace that wait for a token, those of programs under way first.
 */
final class WaitQueue {

	private final Map<RequestStage, Deque<WaitingRequest>> queuesByStage = new EnumMap<>(RequestStage.class);

	WaitQueue() {
		for (RequestStage stage : RequestStage.values()) {
			this.queuesByStage.put(stage, new ArrayDeque<>());
		}
	}

	CompletableFuture<Admission> add(RequestStage stage, long deadlineMs) {
		WaitingRequest request = new WaitingRequest(stage, deadlineMs, new CompletableFuture<>());
		queue(stage).addLast(request);
		return request.result;
	}

	/**
	 * Returns the number of requests that are served before a new one.
	 * @param stage stage of the new request
	 * @return number of requests
	 */
	int countAhead(RequestStage stage) {
		int count = queue(RequestStage.CONTINUING).size();
		return (stage == RequestStage.OPENING) ? count + queue(RequestStage.OPENING).size() : count;
	}

	boolean isEmpty() {
		return countAhead(RequestStage.OPENING) == 0;
	}

	/**
	 * Takes the next request that the given tokens allow.
	 * @param tokens tokens in the bucket
	 * @param reservedTokens tokens that a request that begins a program must leave
	 * @return the request, or {@code null} if none may go
	 */
	@Nullable WaitingRequest pollNext(double tokens, double reservedTokens) {
		if (tokens < 1) {
			return null;
		}
		WaitingRequest continuing = queue(RequestStage.CONTINUING).pollFirst();
		if (continuing != null) {
			return continuing;
		}
		return (tokens >= 1 + reservedTokens) ? queue(RequestStage.OPENING).pollFirst() : null;
	}

	/**
	 * Takes a request whose time is up.
	 * @param nowMs present time in milliseconds
	 * @return the request, or {@code null} if there is none
	 */
	@Nullable WaitingRequest pollExpired(long nowMs) {
		for (Deque<WaitingRequest> queue : this.queuesByStage.values()) {
			for (Iterator<WaitingRequest> iterator = queue.iterator(); iterator.hasNext();) {
				WaitingRequest request = iterator.next();
				if (request.deadlineMs <= nowMs) {
					iterator.remove();
					return request;
				}
			}
		}
		return null;
	}

	private Deque<WaitingRequest> queue(RequestStage stage) {
		Deque<WaitingRequest> queue = this.queuesByStage.get(stage);
		if (queue == null) {
			throw new IllegalStateException("no line for " + stage);
		}
		return queue;
	}

	/**
	 * A request that waits.
	 *
	 * @param stage stage of the request
	 * @param deadlineMs time at which it is refused
	 * @param result receives the decision
	 */
	record WaitingRequest(RequestStage stage, long deadlineMs, CompletableFuture<Admission> result) {

	}

}
