package dev.nutmegdoor.core.limit;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;
import dev.nutmegdoor.core.time.TimerService;

/**
 * Moves shares towards demand and to the instances that should hold them.
 */
final class ShareRebalancer {

	/** Less demand than this in thousandths of requests a second moves nothing. */
	private static final long MIN_DEMAND_MILLI = 50;

	private final TimerService timer;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final UniformRandomProvider random;

	private final LocalShares book;

	private final ShareTransfers transfers;

	private final HolderSelector selector;

	private final Admissions admissions;

	private final LimitSettings settings;

	ShareRebalancer(TimerService timer, PeerTransport transport, MembershipView membership,
			UniformRandomProvider random, LocalShares book, ShareTransfers transfers, HolderSelector selector,
			Admissions admissions, LimitSettings settings) {
		this.timer = timer;
		this.transport = transport;
		this.membership = membership;
		this.random = random;
		this.book = book;
		this.transfers = transfers;
		this.selector = selector;
		this.admissions = admissions;
		this.settings = settings;
	}

	/**
	 * Asks for more where demand exceeds the share, and gives away what other instances
	 * should hold.
	 */
	void rebalance() {
		if (!this.book.isLeaseValid()) {
			return;
		}
		for (WorkspaceShare known : this.book.shares()) {
			WorkspaceShare share = this.book.share(known.workspace());
			int burst = share.limit().burst();
			if (burst == 0) {
				continue;
			}
			if (!this.selector.isHolder(share.workspace(), burst)) {
				transferAll(share);
			}
			else if (needsMore(share)) {
				pull(share);
			}
		}
	}

	/**
	 * Gives all units of a workspace to a holder, one of the own zone if there is one.
	 * @param share state of the workspace
	 */
	void transferAll(WorkspaceShare share) {
		long units = share.bucket().units();
		if (units == 0) {
			return;
		}
		List<Member> holders = this.selector.zoneHolders(share.workspace(), share.limit().burst());
		if (holders.isEmpty()) {
			holders = this.selector.holders(share.workspace(), share.limit().burst());
		}
		holders = holders.stream().filter((holder) -> !holder.id().equals(this.transport.self())).toList();
		if (!holders.isEmpty()) {
			InstanceId receiver = holders.get(this.random.nextInt(holders.size())).id();
			this.transfers.give(share, receiver, units, share.bucket().tokensMicro());
		}
	}

	CompletableFuture<ShareAnswer> answer(InstanceId from, ShareRequest request) {
		WorkspaceShare share = this.book.share(request.workspace());
		long granted = 0;
		if (this.book.isLeaseValid() && share.bucket().units() > 0) {
			granted = (request.tokensMicro() > 0) ? transferTokens(share, from, request)
					: transferShare(share, from, request);
		}
		Bucket bucket = share.bucket();
		return CompletableFuture.completedFuture(
				new ShareAnswer(granted, bucket.units(), bucket.tokensMicro(), share.isOverloaded(this.timer.nowMs())));
	}

	private long transferTokens(WorkspaceShare share, InstanceId receiver, ShareRequest request) {
		Bucket bucket = share.bucket();
		long tokens = Math.min(bucket.tokensMicro(), request.tokensMicro());
		if (tokens == 0) {
			return 0;
		}
		long burst = share.limit().burst();
		long units = (tokens + burst - 1) / burst;
		// What could no longer hold a whole token is of more use at the receiver.
		if (share.limit().capacityMicro(bucket.units() - units) < Limit.TOKEN) {
			units = bucket.units();
			tokens = bucket.tokensMicro();
		}
		this.transfers.give(share, receiver, units, tokens);
		return units;
	}

	private long transferShare(WorkspaceShare share, InstanceId receiver, ShareRequest request) {
		Bucket bucket = share.bucket();
		long units = RebalanceRule.grant(share.limit(), bucket.units(), share.demand().milli(this.timer.nowMs()),
				request.units(), request.demandMilli());
		if (units > 0) {
			long tokens = Math.min(bucket.tokensMicro(), share.limit().capacityMicro(units));
			tokens = Math.min(tokens, (long) ((double) bucket.tokensMicro() * units / bucket.units()));
			this.transfers.give(share, receiver, units, tokens);
		}
		return units;
	}

	private boolean needsMore(WorkspaceShare share) {
		long demand = share.demand().milli(this.timer.nowMs());
		long units = share.bucket().units();
		return demand >= MIN_DEMAND_MILLI && (demand * 5 > share.limit().rateMilli(units) * 4
				|| share.limit().capacityMicro(units) < Limit.TOKEN);
	}

	private void pull(WorkspaceShare share) {
		InstanceId peer = choosePeer(share);
		if (peer == null) {
			return;
		}
		long nowMs = this.timer.nowMs();
		ShareRequest request = new ShareRequest(share.workspace(), share.bucket().units(), share.demand().milli(nowMs),
				0);
		this.transport.request(peer, request, ShareAnswer.class, this.settings.askTimeoutMs())
			.whenComplete((answer, error) -> {
				if (error == null) {
					this.admissions.learn(share, peer, answer.units(), answer.tokensMicro(), answer.isOverloaded());
				}
				else {
					share.setUnresponsive(peer, this.timer.nowMs() + this.settings.unresponsiveMs());
				}
			});
	}

	private @Nullable InstanceId choosePeer(WorkspaceShare share) {
		long nowMs = this.timer.nowMs();
		InstanceId best = null;
		long bestUnits = -1;
		for (Member holder : this.selector.holders(share.workspace(), share.limit().burst())) {
			boolean isOther = !holder.id().equals(this.membership.self().id());
			if (!isOther || !share.isResponsive(holder.id(), nowMs)) {
				continue;
			}
			PeerBalance balance = share.peers().get(holder.id());
			// A holder whose share is unknown may have the most.
			long units = (balance != null) ? balance.units() : Limit.SHARE_UNITS;
			if (units > bestUnits) {
				best = holder.id();
				bestUnits = units;
			}
		}
		return best;
	}

}
