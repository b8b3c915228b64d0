package dev.nutmegdoor.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.event.EventLog;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.core.fault.StepListener;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.id.WorkspaceId;
import dev.nutmegdoor.core.lease.LeaseHoldings;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Transfers shares between instances. The donor deducts the units, records the deduction
 * under its lease, and only then sends the grant. It resends the grant until the receiver
 * has recorded it, or reclaims it once the final holdings of a fenced receiver prove that
 * the receiver never recorded it. Units are therefore never duplicated, and they are lost
 * only if an instance and the witnesses of its last record fail together.
 */
final class ShareTransfers {

	private static final long SEND_TIMEOUT_MS = 400;

	private static final long FINAL_CHECK_MS = 3000;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final LeaseHoldings holdings;

	private final LocalShares localShares;

	private final StepListener stepListener;

	private final EventLog eventLog;

	private final Map<String, PendingGrants> pendingByPair = new TreeMap<>();

	private final Map<InstanceId, Long> lastSentSequences = new HashMap<>();

	private final Map<InstanceId, Long> lastReceivedSequences = new HashMap<>();

	private final Map<InstanceId, Boolean> takenOverHolders = new HashMap<>();

	private Consumer<WorkspaceShare> arrivalListener = (share) -> {
	};

	ShareTransfers(TimerService timer, PeerTransport transport, MembershipView membership, LeaseHoldings holdings,
			LocalShares localShares, StepListener stepListener, EventLog eventLog) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.holdings = holdings;
		this.localShares = localShares;
		this.stepListener = stepListener;
		this.eventLog = eventLog;
	}

	void start(Consumer<WorkspaceShare> listener) {
		this.arrivalListener = listener;
		this.transport.subscribe(ShareTransfer.class, (from, message) -> receive(message));
		this.holdings.subscribeTakeover(this::takeOver);
	}

	int pendingCount() {
		return this.pendingByPair.values().stream().mapToInt((grants) -> grants.allGrants().size()).sum();
	}

	long pendingUnits(WorkspaceId workspace) {
		long units = 0;
		for (PendingGrants grants : this.pendingByPair.values()) {
			for (ShareGrant grant : grants.allGrants()) {
				units += grant.workspace().equals(workspace) ? grant.units() : 0;
			}
		}
		return units;
	}

	/**
	 * Deducts units and tokens from the local bucket and starts to transfer them.
	 * @param share state of the workspace
	 * @param receiver instance that receives the grant
	 * @param units units to transfer, at most those of the bucket
	 * @param tokensMicro micro-tokens to transfer, at most the capacity of these units
	 */
	void startTransfer(WorkspaceShare share, InstanceId receiver, long units, long tokensMicro) {
		InstanceId self = this.transport.self();
		long sequence = this.lastSentSequences.merge(receiver, 1L, Long::sum);
		this.localShares.deduct(share, units, tokensMicro);
		long remainingUnits = share.bucket().units();
		this.localShares.checkInvariant(share, remainingUnits + units <= Limit.SHARE_UNITS,
				"transfer of more than the entire share");
		share.adjustPeerBalance(receiver, units, tokensMicro, this.timer.nowMs());
		PendingGrants grants = grantsBetween(self, receiver);
		grants.add(new ShareGrant(sequence, share.workspace(), units, tokensMicro, remainingUnits));
		persist(grants, sequence, Map.of(LimitHoldingKeys.units(share.workspace()), remainingUnits,
				LimitHoldingKeys.pending(self, receiver, sequence, share.workspace()), units));
	}

	/**
	 * Resends unacknowledged grants and reclaims those of fenced receivers.
	 */
	void retry() {
		long nowMs = this.timer.nowMs();
		for (PendingGrants grants : List.copyOf(this.pendingByPair.values())) {
			if (grants.isEmpty()) {
				this.pendingByPair.remove(pairKey(grants.donor(), grants.receiver()));
				continue;
			}
			Member receiver = this.membership.member(grants.receiver());
			boolean isReceiverUnavailable = receiver == null || !receiver.state().isRoutable();
			if (isReceiverUnavailable && grants.tryStartFinalCheck(nowMs, FINAL_CHECK_MS)) {
				this.holdings.finalHoldings(grants.receiver())
					.thenAccept((finalEntries) -> reclaim(grants, finalEntries));
			}
			send(grants);
		}
	}

	void clear() {
		this.pendingByPair.clear();
	}

	private void persist(PendingGrants grants, long sequence, Map<String, Long> changes) {
		this.holdings.record(changes).thenAccept((isDurable) -> {
			if (isDurable) {
				grants.markDurable(sequence);
				this.stepListener.reached(Step.SHARE_SEND);
				send(grants);
			}
			else if (this.pendingByPair.containsValue(grants)) {
				this.timer.schedule(SEND_TIMEOUT_MS, () -> persist(grants, sequence, Map.of()));
			}
		});
	}

	private void send(PendingGrants grants) {
		List<ShareGrant> unacknowledged = grants.durableGrants();
		if (unacknowledged.isEmpty() || grants.isSending()) {
			return;
		}
		ShareTransfer transfer = new ShareTransfer(grants.donor(), unacknowledged);
		if (grants.receiver().equals(this.transport.self())) {
			CompletableFuture<ShareTransferAnswer> answer = receive(transfer);
			if (answer != null) {
				answer.thenAccept((loopbackAnswer) -> acknowledge(grants, loopbackAnswer.sequence()));
			}
			return;
		}
		grants.setSending(true);
		long lastSequence = unacknowledged.get(unacknowledged.size() - 1).sequence();
		this.transport.request(grants.receiver(), transfer, ShareTransferAnswer.class, SEND_TIMEOUT_MS)
			.whenComplete((answer, error) -> {
				grants.setSending(false);
				if (error == null) {
					acknowledge(grants, answer.sequence());
					List<ShareGrant> remainingGrants = grants.durableGrants();
					if (!remainingGrants.isEmpty()
							&& remainingGrants.get(remainingGrants.size() - 1).sequence() > lastSequence) {
						send(grants);
					}
				}
			});
	}

	private void acknowledge(PendingGrants grants, long sequence) {
		Map<String, Long> changes = new TreeMap<>();
		for (ShareGrant grant : grants.removeUpTo(sequence)) {
			changes.put(pendingKey(grants, grant), 0L);
		}
		if (!changes.isEmpty()) {
			this.holdings.record(changes);
		}
	}

	private void reclaim(PendingGrants grants, @Nullable Map<String, Long> finalEntries) {
		if (finalEntries == null || !this.localShares.isLeaseValid()) {
			return;
		}
		acknowledge(grants, finalEntries.getOrDefault(LimitHoldingKeys.received(grants.donor()), 0L));
		Map<String, Long> changes = new TreeMap<>();
		for (ShareGrant grant : grants.removeUpTo(Long.MAX_VALUE)) {
			WorkspaceShare share = this.localShares.share(grant.workspace());
			this.localShares.credit(share, grant.units(), 0);
			changes.put(LimitHoldingKeys.units(grant.workspace()), share.bucket().units());
			changes.put(pendingKey(grants, grant), 0L);
		}
		if (!changes.isEmpty()) {
			this.eventLog.record("limit.reclaimed", "receiver", grants.receiver(), "grants", changes.size() / 2);
			this.holdings.record(changes);
		}
	}

	private @Nullable CompletableFuture<ShareTransferAnswer> receive(ShareTransfer transfer) {
		if (!this.localShares.isLeaseValid()) {
			return null;
		}
		long sequence = this.lastReceivedSequences.getOrDefault(transfer.giver(), 0L);
		Map<String, Long> changes = new TreeMap<>();
		List<WorkspaceShare> creditedShares = new ArrayList<>();
		for (ShareGrant grant : transfer.grants()) {
			if (grant.sequence() <= sequence) {
				continue;
			}
			this.stepListener.reached(Step.SHARE_RECEIVE);
			sequence = grant.sequence();
			WorkspaceShare share = this.localShares.share(grant.workspace());
			this.localShares.credit(share, grant.units(), grant.tokensMicro());
			this.localShares.checkInvariant(share, grant.units() + grant.unitsLeft() <= Limit.SHARE_UNITS,
					"transfer of more than the entire share");
			share.adjustPeerBalance(transfer.giver(), -grant.units(), -grant.tokensMicro(), this.timer.nowMs());
			changes.put(LimitHoldingKeys.units(grant.workspace()), share.bucket().units());
			creditedShares.add(share);
		}
		this.lastReceivedSequences.put(transfer.giver(), sequence);
		changes.put(LimitHoldingKeys.received(transfer.giver()), sequence);
		ShareTransferAnswer answer = new ShareTransferAnswer(sequence);
		CompletableFuture<ShareTransferAnswer> result = new CompletableFuture<>();
		this.holdings.record(changes).thenAccept((isDurable) -> {
			if (isDurable) {
				result.complete(answer);
			}
			else {
				result.completeExceptionally(new IllegalStateException("share transfer not recorded"));
			}
		});
		creditedShares.forEach(this.arrivalListener);
		return result;
	}

	private void takeOver(InstanceId holder, Map<String, Long> finalEntries) {
		if (this.takenOverHolders.putIfAbsent(holder, true) != null) {
			return;
		}
		Map<String, Long> changes = new TreeMap<>();
		changes.put(LeaseHoldings.takeoverKey(holder), 1L);
		Map<PendingGrants, Long> maxSequences = new HashMap<>();
		finalEntries.forEach((name, units) -> {
			if (name.startsWith(LimitHoldingKeys.UNITS_PREFIX)) {
				WorkspaceShare share = this.localShares
					.share(new WorkspaceId(name.substring(LimitHoldingKeys.UNITS_PREFIX.length())));
				// The holdings contain no tokens, so the units are credited without any.
				this.localShares.credit(share, units, 0);
				changes.put(name, share.bucket().units());
			}
			else if (name.startsWith(LimitHoldingKeys.PENDING_PREFIX)) {
				String[] keyParts = name.split("/", -1);
				PendingGrants grants = grantsBetween(new InstanceId(keyParts[1]), new InstanceId(keyParts[2]));
				long sequence = Long.parseLong(keyParts[3]);
				grants.add(new ShareGrant(sequence, new WorkspaceId(keyParts[4]), units, 0, 0));
				changes.put(name, units);
				maxSequences.merge(grants, sequence, Math::max);
			}
		});
		this.eventLog.record("limit.adopted", "holder", holder, "entries", finalEntries.size());
		this.holdings.record(changes);
		maxSequences.forEach((grants, sequence) -> persist(grants, sequence, Map.of()));
	}

	private PendingGrants grantsBetween(InstanceId donor, InstanceId receiver) {
		return this.pendingByPair.computeIfAbsent(pairKey(donor, receiver),
				(key) -> new PendingGrants(donor, receiver));
	}

	private static String pairKey(InstanceId donor, InstanceId receiver) {
		return donor.value() + "/" + receiver.value();
	}

	private static String pendingKey(PendingGrants grants, ShareGrant grant) {
		return LimitHoldingKeys.pending(grants.donor(), grants.receiver(), grant.sequence(), grant.workspace());
	}

}
