package dev.nutmegdoor.core.conversation;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.conversation.TurnMembers.MemberOutcome;
import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;

/**
 * Stores one turn on one member of each zone, and on further members if some of them fail
 * or are slow. Goes on after enough members have confirmed, until each zone has a copy.
 */
final class TurnStoreAttempt {

	/** Time in milliseconds after which a further member receives the turn, too. */
	static final long CONFIRMATION_MS = 60;

	/** Time in milliseconds after which the turn counts as not stored. */
	static final long LIMIT_MS = 1_000;

	/**
	 * Time in milliseconds after which a member that has not answered counts as out of
	 * reach when it is to be decided whether the own zone is cut off. A confirmation from
	 * another zone takes 10 ms; half of the limit is left for the members of the own
	 * zone.
	 */
	static final long SILENT_MS = 300;

	/**
	 * Time in milliseconds after which the turn is sent again to a member that failed.
	 */
	private static final long RESEND_MS = 240;

	private final CompletableFuture<Void> result = new CompletableFuture<>();

	private final ConversationDependencies dependencies;

	private final TurnMembers members;

	private final StoredTurn turn;

	private final long startedMs;

	private final Map<InstanceId, Copy> copies = new LinkedHashMap<>();

	TurnStoreAttempt(ConversationDependencies dependencies, TurnMembers members, StoredTurn turn) {
		this.dependencies = dependencies;
		this.members = members;
		this.turn = turn;
		this.startedMs = dependencies.timer().nowMs();
	}

	CompletableFuture<Void> result() {
		return this.result;
	}

	void start() {
		sendMissing();
		this.dependencies.timer().schedule(CONFIRMATION_MS, this::proceed);
	}

	private void proceed() {
		if (elapsedMs() >= LIMIT_MS) {
			decide();
			fail();
			return;
		}
		sendMissing();
		decide();
		if (!this.result.isDone() || isAnyZoneLacking()) {
			this.dependencies.timer().schedule(Math.min(CONFIRMATION_MS, LIMIT_MS - elapsedMs()), this::proceed);
		}
	}

	private void sendMissing() {
		Map<AvailabilityZone, List<LedgerMember>> byZone = this.members.byZone(this.turn.group());
		byZone.forEach((zone, candidates) -> {
			if (candidates.stream().noneMatch(this::isExpected)) {
				sendToNext(candidates);
			}
		});
		if (this.result.isDone()) {
			return;
		}
		List<LedgerMember> candidates = byPreference(byZone);
		int required = this.dependencies.tolerance().copies(candidates.size());
		long expected = byZone.values()
			.stream()
			.filter((zoneMembers) -> !isSlow(zoneMembers))
			.flatMap(List::stream)
			.filter(this::isExpected)
			.count() + confirmedInSlowZones(byZone);
		for (LedgerMember member : candidates) {
			if (expected < required && !this.copies.containsKey(member.id()) && this.members.isUsable(member.id())) {
				send(member);
				expected++;
			}
		}
		if (expected < required) {
			candidates.forEach(this::resendIfFailed);
		}
	}

	private long confirmedInSlowZones(Map<AvailabilityZone, List<LedgerMember>> byZone) {
		return byZone.values()
			.stream()
			.filter(this::isSlow)
			.flatMap(List::stream)
			.filter((member) -> Copy.isConfirmed(this.copies.get(member.id())))
			.count();
	}

	// Members of zones without a slow one come first, because the others may be cut off.
	// Among them, the own zone comes first, because traffic between zones is expensive.
	private List<LedgerMember> byPreference(Map<AvailabilityZone, List<LedgerMember>> byZone) {
		return byZone.entrySet()
			.stream()
			.sorted(Comparator
				.comparing((Map.Entry<AvailabilityZone, List<LedgerMember>> zone) -> isSlow(zone.getValue()))
				.thenComparing((zone) -> !zone.getKey().equals(this.dependencies.zone())))
			.flatMap((zone) -> zone.getValue().stream())
			.toList();
	}

	private boolean isSlow(List<LedgerMember> zoneMembers) {
		return zoneMembers.stream()
			.map((member) -> this.copies.get(member.id()))
			.anyMatch((copy) -> copy != null && copy.wasUsable && (copy.outcome == MemberOutcome.UNREACHABLE
					|| (copy.outcome == null && nowMs() - copy.sentMs >= CONFIRMATION_MS)));
	}

	// The chosen member receives the turn also if it is believed to be out of reach,
	// which
	// shows when it is back.
	private void sendToNext(List<LedgerMember> candidates) {
		boolean isAnyUsable = candidates.stream()
			.anyMatch((member) -> !this.copies.containsKey(member.id()) && this.members.isUsable(member.id()));
		if (!isAnyUsable && this.result.isDone()) {
			return;
		}
		for (int i = 0; i < candidates.size(); i++) {
			LedgerMember member = candidates.get(i);
			if (this.copies.containsKey(member.id())) {
				continue;
			}
			boolean isUsable = this.members.isUsable(member.id());
			if (isUsable || i == 0 || !isAnyUsable) {
				send(member);
			}
			if (isUsable || !isAnyUsable) {
				return;
			}
		}
	}

	private void resendIfFailed(LedgerMember member) {
		Copy copy = this.copies.get(member.id());
		if (copy != null && copy.isFailed() && nowMs() - copy.endedMs >= RESEND_MS) {
			send(member);
		}
	}

	private void send(LedgerMember member) {
		Copy copy = new Copy(member, nowMs(), this.members.isUsable(member.id()));
		Copy earlier = this.copies.put(member.id(), copy);
		if (earlier == null && elapsedMs() > 0) {
			this.dependencies.events()
				.record("turn.store-extended", "turn", this.turn.key().id(), "member", member.id(), "confirmed",
						confirmed(), "elapsedMs", elapsedMs());
		}
		this.dependencies.transport()
			.request(member.id(), new TurnStore(this.turn), TurnStored.class, LIMIT_MS)
			.whenComplete((stored, error) -> ended(copy, error));
	}

	private void ended(Copy copy, @Nullable Throwable error) {
		copy.outcome = this.members.record(copy.member.id(), error);
		copy.endedMs = nowMs();
		if (error != null) {
			copy.error = String.valueOf(error.getMessage());
			if (elapsedMs() < LIMIT_MS) {
				sendMissing();
			}
		}
		decide();
	}

	private void decide() {
		if (this.result.isDone()) {
			return;
		}
		Map<AvailabilityZone, List<LedgerMember>> byZone = this.members.byZone(this.turn.group());
		int memberCount = byZone.values().stream().mapToInt(List::size).sum();
		List<InstanceId> confirmed = confirmed();
		long confirmedZones = this.copies.values()
			.stream()
			.filter(Copy::isConfirmed)
			.map((copy) -> copy.member.zone())
			.distinct()
			.count();
		if (!confirmed.isEmpty() && confirmed.size() >= this.dependencies.tolerance().copies(memberCount)
				&& confirmedZones >= this.dependencies.tolerance().zonesOfCopies(byZone.size())) {
			complete(confirmed, false);
		}
		else if (isStoredInOwnZone(byZone.getOrDefault(this.dependencies.zone(), List.of())) && isCutOff(byZone)) {
			complete(confirmed, true);
		}
	}

	private boolean isStoredInOwnZone(List<LedgerMember> zoneMembers) {
		long confirmed = zoneMembers.stream()
			.filter((member) -> Copy.isConfirmed(this.copies.get(member.id())))
			.count();
		return zoneMembers.size() > 1 && confirmed >= this.dependencies.tolerance().copies(zoneMembers.size());
	}

	private boolean isCutOff(Map<AvailabilityZone, List<LedgerMember>> byZone) {
		return byZone.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(this.dependencies.zone()))
			.flatMap((entry) -> entry.getValue().stream())
			.allMatch(this::isOutOfReach);
	}

	private boolean isOutOfReach(LedgerMember member) {
		Copy copy = this.copies.get(member.id());
		if (copy == null) {
			return !this.members.isReachable(member.id());
		}
		if (copy.outcome == null) {
			return !this.members.isReachable(member.id()) || nowMs() - copy.sentMs >= SILENT_MS;
		}
		return copy.outcome == MemberOutcome.UNREACHABLE;
	}

	private boolean isExpected(LedgerMember member) {
		Copy copy = this.copies.get(member.id());
		return copy != null && (Copy.isConfirmed(copy) || (copy.outcome == null && copy.wasUsable
				&& this.members.isReachable(member.id()) && nowMs() - copy.sentMs < CONFIRMATION_MS));
	}

	private boolean isAnyZoneLacking() {
		return this.members.byZone(this.turn.group())
			.values()
			.stream()
			.anyMatch((candidates) -> candidates.stream()
				.noneMatch((member) -> Copy.isConfirmed(this.copies.get(member.id())))
					&& candidates.stream().anyMatch((member) -> this.members.isUsable(member.id())));
	}

	private List<InstanceId> confirmed() {
		return this.copies.values().stream().filter(Copy::isConfirmed).map((copy) -> copy.member.id()).toList();
	}

	private void complete(List<InstanceId> confirmed, boolean isCutOff) {
		this.dependencies.events()
			.record("turn.stored", "turn", this.turn.key().id(), "workspace", this.turn.key().workspace(), "previous",
					String.valueOf(this.turn.previousId()), "group", this.turn.group(), "inputBytes",
					this.turn.input().length, "outputBytes", this.turn.output().length, "members", confirmed,
					"zoneCutOff", isCutOff, "elapsedMs", elapsedMs());
		this.result.complete(null);
	}

	private void fail() {
		if (this.result.isDone()) {
			return;
		}
		this.dependencies.events()
			.record("turn.not-stored", "turn", this.turn.key().id(), "workspace", this.turn.key().workspace(), "group",
					this.turn.group(), "members", this.members.all().size(), "confirmed", confirmed(), "others",
					this.copies.values()
						.stream()
						.filter((copy) -> !Copy.isConfirmed(copy))
						.map(Copy::describe)
						.toList(),
					"elapsedMs", elapsedMs());
		this.result.completeExceptionally(new ConversationException(ConversationFailure.NOT_STORED,
				confirmed().size() + " of " + this.members.all().size() + " members have confirmed the turn"));
	}

	private long nowMs() {
		return this.dependencies.timer().nowMs();
	}

	private long elapsedMs() {
		return nowMs() - this.startedMs;
	}

	/**
	 * The turn as it was sent to one member.
	 */
	private static final class Copy {

		private final LedgerMember member;

		private final long sentMs;

		private final boolean wasUsable;

		private @Nullable MemberOutcome outcome;

		private long endedMs;

		private String error = "no answer";

		private Copy(LedgerMember member, long sentMs, boolean wasUsable) {
			this.member = member;
			this.sentMs = sentMs;
			this.wasUsable = wasUsable;
		}

		private static boolean isConfirmed(@Nullable Copy copy) {
			return copy != null && copy.outcome == MemberOutcome.ANSWERED;
		}

		private boolean isFailed() {
			return this.outcome != null && this.outcome != MemberOutcome.ANSWERED;
		}

		private String describe() {
			return this.member.id() + ": " + this.error;
		}

	}

}
