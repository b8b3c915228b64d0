package dev.nutmegdoor.core.key;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.membership.Member;
import dev.nutmegdoor.core.membership.MembershipView;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Pushes withdrawals to all instances and collects their receipts. In each other zone one
 * instance acts as delegate, which pushes to the instances of its zone.
 */
final class WithdrawalPropagator {

	/** Maximum push attempts per instance. */
	private static final int MAX_ATTEMPTS = 2;

	/** Maximum number of delegates tried in a zone, one after the other. */
	private static final int MAX_DELEGATES = 2;

	private final PeerTransport transport;

	private final MembershipView membership;

	private final long pushTimeoutMs;

	WithdrawalPropagator(PeerTransport transport, MembershipView membership, long pushTimeoutMs) {
		this.transport = transport;
		this.membership = membership;
		this.pushTimeoutMs = pushTimeoutMs;
	}

	/**
	 * Pushes withdrawals to all other members.
	 * @param withdrawals withdrawals that this instance has applied
	 * @return replies by zone, {@code null} for a zone of which no delegate replied;
	 * never fails
	 */
	CompletableFuture<Map<AvailabilityZone, @Nullable WithdrawalZoneAnswer>> confirm(List<KeyWithdrawal> withdrawals) {
		Map<AvailabilityZone, List<InstanceId>> zones = new TreeMap<>();
		for (Member member : this.membership.members()) {
			List<InstanceId> members = zones.computeIfAbsent(member.availabilityZone(), (zone) -> new ArrayList<>());
			// Members without a recent heartbeat are not routable and are tried last.
			members.add(member.state().isRoutable() ? 0 : members.size(), member.id());
		}
		Map<AvailabilityZone, @Nullable WithdrawalZoneAnswer> answers = new TreeMap<>();
		List<CompletableFuture<?>> pending = new ArrayList<>();
		zones.forEach((zone, members) -> {
			CompletableFuture<@Nullable WithdrawalZoneAnswer> answer = new CompletableFuture<>();
			if (zone.equals(this.membership.self().availabilityZone())) {
				confirmOwnZone(withdrawals).thenAccept(answer::complete);
			}
			else {
				delegate(withdrawals, members, 0, answer);
			}
			pending.add(answer.thenAccept((value) -> answers.put(zone, value)));
		});
		return CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0])).thenApply((ignored) -> answers);
	}

	/**
	 * Pushes withdrawals to the other instances in the zone of this instance.
	 * @param withdrawals withdrawals that this instance has applied
	 * @return which instances have applied them, including this one; never fails
	 */
	CompletableFuture<WithdrawalZoneAnswer> confirmOwnZone(List<KeyWithdrawal> withdrawals) {
		Member self = this.membership.self();
		List<InstanceId> confirmed = new ArrayList<>(List.of(self.id()));
		List<InstanceId> missing = new ArrayList<>();
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		for (Member member : this.membership.members()) {
			if (member.availabilityZone().equals(self.availabilityZone()) && !member.id().equals(self.id())) {
				CompletableFuture<Void> done = new CompletableFuture<>();
				push(member.id(), withdrawals, 1, confirmed, missing, done);
				pending.add(done);
			}
		}
		return CompletableFuture.allOf(pending.toArray(new CompletableFuture<?>[0]))
			.thenApply((ignored) -> new WithdrawalZoneAnswer(confirmed, missing));
	}

	private void push(InstanceId peer, List<KeyWithdrawal> withdrawals, int attempt, List<InstanceId> confirmed,
			List<InstanceId> missing, CompletableFuture<Void> done) {
		this.transport.request(peer, new WithdrawalPush(withdrawals), WithdrawalReceipt.class, this.pushTimeoutMs)
			.whenComplete((receipt, error) -> {
				if (error != null && attempt < MAX_ATTEMPTS) {
					push(peer, withdrawals, attempt + 1, confirmed, missing, done);
					return;
				}
				((error != null) ? missing : confirmed).add(peer);
				done.complete(null);
			});
	}

	private void delegate(List<KeyWithdrawal> withdrawals, List<InstanceId> members, int index,
			CompletableFuture<@Nullable WithdrawalZoneAnswer> answer) {
		if (index >= Math.min(MAX_DELEGATES, members.size())) {
			answer.complete(null);
			return;
		}
		long timeoutMs = this.pushTimeoutMs * (MAX_ATTEMPTS + 1);
		this.transport
			.request(members.get(index), new WithdrawalZoneRequest(withdrawals), WithdrawalZoneAnswer.class, timeoutMs)
			.whenComplete((value, error) -> {
				if (error == null) {
					answer.complete(value);
				}
				else {
					delegate(withdrawals, members, index + 1, answer);
				}
			});
	}

}
