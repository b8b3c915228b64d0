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
 * Moves shares between instances. The giver deducts, records the deduction under its
 * lease, and only then sends; it repeats the grant until the receiver has recorded it, or
 * takes it back once the last holdings of a fenced receiver prove that it never did.
 * Units are thus never created, and lost only if an instance and the witnesses of its
 * last record fail together.
 */
final class ShareTransfers {

	private static final long SEND_TIMEOUT_MS = 400;

	private static final long FINAL_CHECK_MS = 3000;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final LeaseHoldings holdings;

	private final LocalShares book;

	private final StepListener steps;

	private final EventLog eventLog;

	private final Map<String, PendingGrants> pending = new TreeMap<>();

	private final Map<InstanceId, Long> sentSequence = new HashMap<>();

	private final Map<InstanceId, Long> received = new HashMap<>();

	private final Map<InstanceId, Boolean> adopted = new HashMap<>();

	private Consumer<WorkspaceShare> arrival = (share) -> {
	};

	ShareTransfers(TimerService timer, PeerTransport transport, MembershipView membership, LeaseHoldings holdings,
			LocalShares book, StepListener steps, EventLog eventLog) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.holdings = holdings;
		this.book = book;
		this.steps = steps;
		this.eventLog = eventLog;
	}

	void start(Consumer<WorkspaceShare> onArrival) {
		this.arrival = onArrival;
		this.transport.subscribe(ShareTransfer.class, (from, message) -> receive(message));
		this.holdings.subscribeAdoption(this::adopt);
	}

	int pendingCount() {
		return this.pending.values().stream().mapToInt((grants) -> grants.all().size()).sum();
	}

	long pendingUnits(WorkspaceId workspace) {
		long units = 0;
		for (PendingGrants grants : this.pending.values()) {
			for (ShareGrant grant : grants.all()) {
				units += grant.workspace().equals(workspace) ? grant.units() : 0;
			}
		}
		return units;
	}

	/**
	 * Gives a part of a share away.
	 * @param share state of the workspace
	 * @param receiver who gets it
	 * @param units units, at most those of the bucket
	 * @param tokensMicro tokens, within the capacity of these units
	 */
	void give(WorkspaceShare share, InstanceId receiver, long units, long tokensMicro) {
		InstanceId self = this.transport.self();
		long sequence = this.sentSequence.merge(receiver, 1L, Long::sum);
		this.book.remove(share, units, tokensMicro);
		long left = share.bucket().units();
		this.book.check(share, left + units <= Limit.SHARE_UNITS, "exchange of more than the whole share");
		share.exchanged(receiver, units, tokensMicro, this.timer.nowMs());
		PendingGrants grants = pending(self, receiver);
		grants.add(new ShareGrant(sequence, share.workspace(), units, tokensMicro, left));
		persist(grants, sequence, Map.of(LimitHoldingKeys.units(share.workspace()), left,
				LimitHoldingKeys.out(self, receiver, sequence, share.workspace()), units));
	}

	/**
	 * Repeats what was not acknowledged.
	 */
	void retry() {
		long nowMs = this.timer.nowMs();
		for (PendingGrants grants : List.copyOf(this.pending.values())) {
			if (grants.isEmpty()) {
				this.pending.remove(key(grants.giver(), grants.receiver()));
				continue;
			}
			Member receiver = this.membership.member(grants.receiver());
			boolean isDoubtful = receiver == null || !receiver.state().isRoutable();
			if (isDoubtful && grants.isFinalCheckDue(nowMs, FINAL_CHECK_MS)) {
				this.holdings.finalHoldings(grants.receiver()).thenAccept((last) -> reclaim(grants, last));
			}
			send(grants);
		}
	}

	void clear() {
		this.pending.clear();
	}

	private void persist(PendingGrants grants, long sequence, Map<String, Long> changes) {
		this.holdings.record(changes).thenAccept((isDurable) -> {
			if (isDurable) {
				grants.durable(sequence);
				this.steps.reached(Step.SHARE_SEND);
				send(grants);
			}
			else if (this.pending.containsValue(grants)) {
				this.timer.schedule(SEND_TIMEOUT_MS, () -> persist(grants, sequence, Map.of()));
			}
		});
	}

	private void send(PendingGrants grants) {
		List<ShareGrant> sendable = grants.sendable();
		if (sendable.isEmpty() || grants.isSending()) {
			return;
		}
		ShareTransfer transfer = new ShareTransfer(grants.giver(), sendable);
		if (grants.receiver().equals(this.transport.self())) {
			CompletableFuture<ShareTransferAnswer> answer = receive(transfer);
			if (answer != null) {
				answer.thenAccept((done) -> acknowledge(grants, done.sequence()));
			}
			return;
		}
		grants.setSending(true);
		long lastSequence = sendable.get(sendable.size() - 1).sequence();
		this.transport.request(grants.receiver(), transfer, ShareTransferAnswer.class, SEND_TIMEOUT_MS)
			.whenComplete((answer, error) -> {
				grants.setSending(false);
				if (error == null) {
					acknowledge(grants, answer.sequence());
					List<ShareGrant> later = grants.sendable();
					if (!later.isEmpty() && later.get(later.size() - 1).sequence() > lastSequence) {
						send(grants);
					}
				}
			});
	}

	private void acknowledge(PendingGrants grants, long sequence) {
		Map<String, Long> changes = new TreeMap<>();
		for (ShareGrant grant : grants.removeUpTo(sequence)) {
			changes.put(outKey(grants, grant), 0L);
		}
		if (!changes.isEmpty()) {
			this.holdings.record(changes);
		}
	}

	private void reclaim(PendingGrants grants, @Nullable Map<String, Long> last) {
		if (last == null || !this.book.isLeaseValid()) {
			return;
		}
		acknowledge(grants, last.getOrDefault(LimitHoldingKeys.received(grants.giver()), 0L));
		Map<String, Long> changes = new TreeMap<>();
		for (ShareGrant grant : grants.removeUpTo(Long.MAX_VALUE)) {
			WorkspaceShare share = this.book.share(grant.workspace());
			this.book.add(share, grant.units(), 0);
			changes.put(LimitHoldingKeys.units(grant.workspace()), share.bucket().units());
			changes.put(outKey(grants, grant), 0L);
		}
		if (!changes.isEmpty()) {
			this.eventLog.record("limit.reclaimed", "receiver", grants.receiver(), "grants", changes.size() / 2);
			this.holdings.record(changes);
		}
	}

	private @Nullable CompletableFuture<ShareTransferAnswer> receive(ShareTransfer transfer) {
		if (!this.book.isLeaseValid()) {
			return null;
		}
		long sequence = this.received.getOrDefault(transfer.giver(), 0L);
		Map<String, Long> changes = new TreeMap<>();
		List<WorkspaceShare> arrived = new ArrayList<>();
		for (ShareGrant grant : transfer.grants()) {
			if (grant.sequence() <= sequence) {
				continue;
			}
			this.steps.reached(Step.SHARE_RECEIVE);
			sequence = grant.sequence();
			WorkspaceShare share = this.book.share(grant.workspace());
			this.book.add(share, grant.units(), grant.tokensMicro());
			this.book.check(share, grant.units() + grant.unitsLeft() <= Limit.SHARE_UNITS,
					"exchange of more than the whole share");
			share.exchanged(transfer.giver(), -grant.units(), -grant.tokensMicro(), this.timer.nowMs());
			changes.put(LimitHoldingKeys.units(grant.workspace()), share.bucket().units());
			arrived.add(share);
		}
		this.received.put(transfer.giver(), sequence);
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
		arrived.forEach(this.arrival);
		return result;
	}

	private void adopt(InstanceId holder, Map<String, Long> last) {
		if (this.adopted.putIfAbsent(holder, true) != null) {
			return;
		}
		Map<String, Long> changes = new TreeMap<>();
		changes.put(LeaseHoldings.takeoverKey(holder), 1L);
		Map<PendingGrants, Long> inherited = new HashMap<>();
		last.forEach((name, units) -> {
			if (name.startsWith(LimitHoldingKeys.UNITS)) {
				WorkspaceShare share = this.book
					.share(new WorkspaceId(name.substring(LimitHoldingKeys.UNITS.length())));
				// The tokens of the bucket are unknown, so it starts empty.
				this.book.add(share, units, 0);
				changes.put(name, share.bucket().units());
			}
			else if (name.startsWith(LimitHoldingKeys.OUT)) {
				String[] parts = name.split("/", -1);
				PendingGrants grants = pending(new InstanceId(parts[1]), new InstanceId(parts[2]));
				long sequence = Long.parseLong(parts[3]);
				grants.add(new ShareGrant(sequence, new WorkspaceId(parts[4]), units, 0, 0));
				changes.put(name, units);
				inherited.merge(grants, sequence, Math::max);
			}
		});
		this.eventLog.record("limit.adopted", "holder", holder, "entries", last.size());
		this.holdings.record(changes);
		inherited.forEach((grants, sequence) -> persist(grants, sequence, Map.of()));
	}

	private PendingGrants pending(InstanceId giver, InstanceId receiver) {
		return this.pending.computeIfAbsent(key(giver, receiver), (key) -> new PendingGrants(giver, receiver));
	}

	private static String key(InstanceId giver, InstanceId receiver) {
		return giver.value() + "/" + receiver.value();
	}

	private static String outKey(PendingGrants grants, ShareGrant grant) {
		return LimitHoldingKeys.out(grants.giver(), grants.receiver(), grant.sequence(), grant.workspace());
	}

}
