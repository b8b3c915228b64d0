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

	private final Map<RequestStage, Deque<Waiting>> byStage = new EnumMap<>(RequestStage.class);

	WaitQueue() {
		for (RequestStage stage : RequestStage.values()) {
			this.byStage.put(stage, new ArrayDeque<>());
		}
	}

	CompletableFuture<Admission> add(RequestStage stage, long deadlineMs) {
		Waiting waiting = new Waiting(stage, deadlineMs, new CompletableFuture<>());
		line(stage).addLast(waiting);
		return waiting.result;
	}

	/**
	 * Returns the number of requests that are served before a new one.
	 * @param stage stage of the new request
	 * @return number of requests
	 */
	int ahead(RequestStage stage) {
		int count = line(RequestStage.CONTINUING).size();
		return (stage == RequestStage.OPENING) ? count + line(RequestStage.OPENING).size() : count;
	}

	boolean isEmpty() {
		return ahead(RequestStage.OPENING) == 0;
	}

	/**
	 * Takes the next request that the given tokens allow.
	 * @param tokens tokens in the bucket
	 * @param reserve tokens that a request that begins a program must leave
	 * @return the request, or {@code null} if none may go
	 */
	@Nullable Waiting next(double tokens, double reserve) {
		if (tokens < 1) {
			return null;
		}
		Waiting continuing = line(RequestStage.CONTINUING).pollFirst();
		if (continuing != null) {
			return continuing;
		}
		return (tokens >= 1 + reserve) ? line(RequestStage.OPENING).pollFirst() : null;
	}

	/**
	 * Takes a request whose time is up.
	 * @param nowMs present time in milliseconds
	 * @return the request, or {@code null} if there is none
	 */
	@Nullable Waiting expired(long nowMs) {
		for (Deque<Waiting> line : this.byStage.values()) {
			for (Iterator<Waiting> iterator = line.iterator(); iterator.hasNext();) {
				Waiting waiting = iterator.next();
				if (waiting.deadlineMs <= nowMs) {
					iterator.remove();
					return waiting;
				}
			}
		}
		return null;
	}

	private Deque<Waiting> line(RequestStage stage) {
		Deque<Waiting> line = this.byStage.get(stage);
		if (line == null) {
			throw new IllegalStateException("no line for " + stage);
		}
		return line;
	}

	/**
	 * A request that waits.
	 *
	 * @param stage stage of the request
	 * @param deadlineMs time at which it is refused
	 * @param result receives the decision
	 */
	record Waiting(RequestStage stage, long deadlineMs, CompletableFuture<Admission> result) {

	}

}
