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
 * Start-time fair queue of one pool, weighted by workspace. The workspace with the lowest
 * start tag is served first; a tag advances by the service time that the workspace
 * receives divided by its weight. A workspace that was idle resumes at the current
 * virtual time and therefore accumulates no credit while idle.
 */
final class FairQueue {

	/**
	 * Weight of the newest dispatch gap in the exponential moving average, which
	 * therefore covers about ten dispatches.
	 */
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
	 * Dispatches queued calls in order until none of the candidates can be dispatched.
	 * @param lookahead maximum number of calls to try for each dispatch
	 * @param dispatch sends a call and returns {@code true} if a replica has capacity;
	 * must not add calls to this queue
	 * @param nowMs current time in milliseconds
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
	 * Adjusts the service time charged to the workspace of a call.
	 * @param call call that was dispatched from this queue
	 * @param serviceMs service time to add in milliseconds; negative if too much was
	 * charged
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
	 * Returns the expected wait of a call that is added now: the queued calls of its
	 * workspace times their average dispatch gap.
	 * @param workspace workspace of the call
	 * @return time in milliseconds; 0 for a workspace that has not queued a call yet
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
	 * @param minServiceMs minimum time in milliseconds that a call takes once it is
	 * dispatched
	 * @param nowMs current time in milliseconds
	 * @return calls whose expected wait and minimum service time exceed their remaining
	 * time
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
		// The lookahead is divided equally between the workspaces. Otherwise one
		// workspace whose calls all wait for the same busy replica blocks the others.
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
