package dev.nutmegdoor.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import dev.nutmegdoor.core.id.WorkspaceId;

/**
 * Weighted start-time fair queue of one pool. The workspace with the lowest start tag is
 * served first; a tag rises by the service that the workspace receives divided by its
 * weight. A workspace that was idle starts at the virtual time, so idling earns nothing.
 */
final class FairQueue {

	/** Smoothing of the dispatch gap; averages over about ten dispatches. */
	private static final double DISPATCH_GAP_SMOOTHING_FACTOR = 0.1;

	private final Map<WorkspaceId, WorkspaceQueue> queuesByWorkspace = new HashMap<>();

	private final TreeSet<WorkspaceQueue> activeQueues = new TreeSet<>();

	private final double firstDispatchGapMs;

	private double virtualTime;

	private int size;

	FairQueue(double firstDispatchGapMs) {
		this.firstDispatchGapMs = firstDispatchGapMs;
	}

	void add(QueuedCall call) {
		WorkspaceQueue queue = queueOf(call);
		if (queue.calls.isEmpty()) {
			queue.startTag = Math.max(queue.startTag, this.virtualTime);
			this.activeQueues.add(queue);
		}
		if (queue.calls.add(call)) {
			this.size++;
		}
	}

	boolean remove(QueuedCall call) {
		WorkspaceQueue queue = queueOf(call);
		if (!queue.calls.remove(call)) {
			return false;
		}
		this.size--;
		if (queue.calls.isEmpty()) {
			this.activeQueues.remove(queue);
		}
		return true;
	}

	/**
	 * Offers waiting calls in their order until none is taken or too many are passed
	 * over.
	 * @param lookahead calls that may be passed over
	 * @param dispatch sends a call if its replica has a place; must not add calls
	 * @param nowMs present time in milliseconds
	 */
	void dispatchWaiting(int lookahead, Predicate<QueuedCall> dispatch, long nowMs) {
		boolean isDispatched = true;
		while (isDispatched && this.size > 0) {
			isDispatched = false;
			for (QueuedCall call : candidates(lookahead)) {
				if (dispatch.test(call)) {
					recordDispatch(call, nowMs);
					isDispatched = true;
					break;
				}
			}
		}
	}

	/**
	 * Corrects the service charged to a workspace.
	 * @param call a call that was dispatched
	 * @param serviceMs service to add, negative if too much was charged
	 */
	void charge(QueuedCall call, double serviceMs) {
		WorkspaceQueue queue = queueOf(call);
		boolean isActive = this.activeQueues.remove(queue);
		queue.startTag += serviceMs / Math.max(1, call.weight);
		if (isActive) {
			this.activeQueues.add(queue);
		}
	}

	/**
	 * Returns the expected wait of a call that is added now.
	 * @param workspace workspace of the call
	 * @return milliseconds
	 */
	double expectedWaitMs(WorkspaceId workspace) {
		WorkspaceQueue queue = this.queuesByWorkspace.get(workspace);
		return (queue != null) ? queue.calls.size() * queue.dispatchGapMs : 0;
	}

	int queuedCalls(WorkspaceId workspace) {
		WorkspaceQueue queue = this.queuesByWorkspace.get(workspace);
		return (queue != null) ? queue.calls.size() : 0;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns calls that cannot be served before their deadline.
	 * @param minServiceMs time that a call needs at least once it is dispatched
	 * @param nowMs present time in milliseconds
	 * @return calls whose expected wait is longer than the time they have
	 */
	List<QueuedCall> callsMissingDeadline(ToDoubleFunction<QueuedCall> minServiceMs, long nowMs) {
		List<QueuedCall> calls = new ArrayList<>();
		for (WorkspaceQueue queue : this.activeQueues) {
			int callsAhead = 0;
			for (QueuedCall call : queue.calls) {
				if (call.deadlineMs - nowMs < callsAhead * queue.dispatchGapMs + minServiceMs.applyAsDouble(call)) {
					calls.add(call);
				}
				else {
					callsAhead++;
				}
			}
		}
		return calls;
	}

	private List<QueuedCall> candidates(int lookahead) {
		List<QueuedCall> calls = new ArrayList<>(lookahead);
		// Each workspace may pass over its share only, so that calls of one workspace
		// that all wait for the same replica don't hide those of the others.
		int maxPerWorkspace = Math.max(1, lookahead / Math.max(1, this.activeQueues.size()));
		for (WorkspaceQueue queue : this.activeQueues) {
			int workspaceCallCount = 0;
			for (QueuedCall call : queue.calls) {
				if (workspaceCallCount++ == maxPerWorkspace) {
					break;
				}
				calls.add(call);
			}
			if (calls.size() >= lookahead) {
				break;
			}
		}
		return calls;
	}

	private void recordDispatch(QueuedCall call, long nowMs) {
		WorkspaceQueue queue = queueOf(call);
		this.virtualTime = Math.max(this.virtualTime, queue.startTag);
		boolean isBacklogged = queue.lastDispatchMs > 0 && call.queuedAtMs <= queue.lastDispatchMs;
		if (isBacklogged) {
			queue.dispatchGapMs += DISPATCH_GAP_SMOOTHING_FACTOR * (nowMs - queue.lastDispatchMs - queue.dispatchGapMs);
		}
		queue.lastDispatchMs = nowMs;
		remove(call);
		charge(call, call.chargedMs);
	}

	private WorkspaceQueue queueOf(QueuedCall call) {
		return this.queuesByWorkspace.computeIfAbsent(call.request.workspace(),
				(workspace) -> new WorkspaceQueue(workspace, this.firstDispatchGapMs));
	}

}
