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
 * Queues the requests of a workspace that wait for a token. Requests of programs in
 * progress are served before requests that begin a program. Not thread-safe.
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
	 * Returns the number of queued requests that are served before a new one.
	 * @param stage stage of the new request
	 * @return number of requests, at least 0
	 */
	int countAhead(RequestStage stage) {
		int count = queue(RequestStage.CONTINUING).size();
		return (stage == RequestStage.OPENING) ? count + queue(RequestStage.OPENING).size() : count;
	}

	boolean isEmpty() {
		return countAhead(RequestStage.OPENING) == 0;
	}

	/**
	 * Removes and returns the next request that the available tokens allow.
	 * @param tokens tokens in the bucket
	 * @param reservedTokens tokens that must be left by a request that begins a program
	 * @return the request, or {@code null} if none can be admitted
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
	 * Removes and returns a request whose deadline has passed.
	 * @param nowMs current time in milliseconds
	 * @return the request, or {@code null} if no deadline has passed
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
			throw new IllegalStateException("no wait queue for request stage " + stage);
		}
		return queue;
	}

	/**
	 * Request that waits for a token.
	 *
	 * @param stage whether the request begins or continues a program
	 * @param deadlineMs time in milliseconds at which the request is rejected
	 * @param result completed with the decision
	 */
	record WaitingRequest(RequestStage stage, long deadlineMs, CompletableFuture<Admission> result) {

	}

}
