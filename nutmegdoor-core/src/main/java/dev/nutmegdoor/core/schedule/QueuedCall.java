package dev.nutmegdoor.core.schedule;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.call.CallListener;
import dev.nutmegdoor.core.call.CallRequest;
import dev.nutmegdoor.core.id.UpstreamId;
import dev.nutmegdoor.core.placement.PromptPart;

/**
 * A call from its acceptance until its outcome is reported, across all attempts. Ordered
 * by its position within the workspace. Used on the control thread only.
 */
final class QueuedCall implements Comparable<QueuedCall> {

	final CallRequest request;

	final CallListener listener;

	final String pool;

	final String promptOwner;

	final List<PromptPart> prompt;

	final int priority;

	final int weight;

	final String account;

	final double orderMs;

	final long sequence;

	final long acceptedAtMs;

	final long deadlineMs;

	final List<Long> prefixHashes;

	final Set<UpstreamId> failedReplicas = new HashSet<>(2);

	final StringBuilder deliveredText = new StringBuilder();

	long queuedAtMs;

	int attemptCount;

	/** Number of replicas that received the call and may have started to run it. */
	int sendCount;

	double chargedMs;

	boolean isEnded;

	boolean isDelayRecorded;

	boolean isInterruptible = true;

	boolean mayHaveRun;

	@Nullable Runnable onCancel;

	QueuedCall(CallRequest request, CallListener listener, String pool, CallOrder order, List<Long> prefixHashes,
			long sequence, long nowMs) {
		this.request = request;
		this.listener = listener;
		this.pool = pool;
		this.promptOwner = (request.program() != null) ? request.program().toString() : "";
		this.prompt = CallCosts.promptOf(request, this.promptOwner);
		this.priority = order.priority();
		this.weight = order.weight();
		this.account = order.account();
		this.orderMs = order.orderMs();
		this.sequence = sequence;
		this.acceptedAtMs = nowMs;
		this.queuedAtMs = nowMs;
		this.deadlineMs = nowMs + request.timeoutMs();
		this.prefixHashes = prefixHashes;
	}

	@Override
	public int compareTo(QueuedCall other) {
		int byOrder = Double.compare(this.orderMs, other.orderMs);
		return (byOrder != 0) ? byOrder : Long.compare(this.sequence, other.sequence);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return this == other;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.sequence);
	}

}
