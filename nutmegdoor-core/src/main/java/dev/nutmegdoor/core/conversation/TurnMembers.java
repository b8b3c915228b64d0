package dev.nutmegdoor.core.conversation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.AvailabilityZone;
import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.ledger.LedgerSettings;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;

/**
 * Tracks which members of the ledger keep turns and which of them can be used now.
 * Confined to the control thread.
 */
final class TurnMembers {

	/**
	 * Time in milliseconds for which a member that does not know the messages counts as
	 * one that keeps no turns. A process is replaced by a newer version within seconds.
	 */
	private static final long UNSUPPORTED_MS = 5_000;

	/**
	 * Time in milliseconds for which another member is preferred to one that refused, for
	 * example because its disk is full.
	 */
	private static final long REFUSED_MS = 1_000;

	/**
	 * Time in milliseconds after which a member that was forgotten is gone for good; the
	 * time after which the ledger drops an unreachable one.
	 */
	private static final long FORGOTTEN_MS = LedgerSettings.DEFAULT.evictMs();

	private static final String UNKNOWN_TYPE = "unknown type";

	/** Part of the error of another process that runs at the address of the member. */
	private static final String OTHER_RECEIVER = "now runs at its address";

	private final ConversationDependencies dependencies;

	private final Map<InstanceId, Long> unsupportedUntilMs = new HashMap<>();

	private final Map<InstanceId, Long> refusedUntilMs = new HashMap<>();

	TurnMembers(ConversationDependencies dependencies) {
		this.dependencies = dependencies;
	}

	/**
	 * Returns the members that may keep turns.
	 * @return all members except those of a version without turns
	 */
	List<LedgerMember> all() {
		return members().all().stream().filter((member) -> !isUnsupported(member.id())).toList();
	}

	/**
	 * Returns whether the list of members is complete, so that a turn that none of them
	 * has does not exist. Members that restart in a zone that is cut off list only each
	 * other; a list without members of another zone, or one from which unreachable
	 * members were removed, may come from them.
	 * @return {@code false} if there may be members that this process does not know
	 */
	boolean isListComplete() {
		long nowMs = this.dependencies.timer().nowMs();
		if (members().hasForgottenSince(nowMs - FORGOTTEN_MS)) {
			return false;
		}
		long zones = members().all().stream().map(LedgerMember::zone).distinct().count();
		return this.dependencies.isMemberListRead().getAsBoolean() || zones > this.dependencies.tolerance().zones();
	}

	Map<AvailabilityZone, List<LedgerMember>> byZone(String group) {
		return TurnOwners.byZone(group, all());
	}

	boolean isReachable(InstanceId id) {
		return members().isReachable(id);
	}

	boolean isUsable(InstanceId id) {
		return isReachable(id) && isOver(this.refusedUntilMs, id);
	}

	private boolean isUnsupported(InstanceId id) {
		return !isOver(this.unsupportedUntilMs, id);
	}

	private boolean isOver(Map<InstanceId, Long> untilMs, InstanceId id) {
		Long until = untilMs.get(id);
		if (until == null) {
			return true;
		}
		if (until <= this.dependencies.timer().nowMs()) {
			untilMs.remove(id);
			return true;
		}
		return false;
	}

	/**
	 * Records the outcome of a request to a member.
	 * @param id the member
	 * @param error cause of the failure, or {@code null} if the member answered
	 * @return how the request ended
	 */
	MemberOutcome record(InstanceId id, @Nullable Throwable error) {
		long nowMs = this.dependencies.timer().nowMs();
		if (error == null) {
			this.unsupportedUntilMs.remove(id);
			this.refusedUntilMs.remove(id);
			members().recordOutcome(id, null, nowMs, this.dependencies.events());
			return MemberOutcome.ANSWERED;
		}
		String message = String.valueOf(error.getMessage());
		if (!(error instanceof PeerException failed) || failed.failure() != PeerFailure.REMOTE_ERROR
				|| message.contains(OTHER_RECEIVER)) {
			members().recordOutcome(id, error, nowMs, this.dependencies.events());
			return MemberOutcome.UNREACHABLE;
		}
		if (message.startsWith(UNKNOWN_TYPE) || message.contains("answered: " + UNKNOWN_TYPE)) {
			this.unsupportedUntilMs.put(id, nowMs + UNSUPPORTED_MS);
			return MemberOutcome.UNSUPPORTED;
		}
		this.refusedUntilMs.put(id, nowMs + REFUSED_MS);
		return MemberOutcome.REFUSED;
	}

	void update(List<LedgerMember> listedMembers) {
		if (!listedMembers.isEmpty()) {
			members().merge(listedMembers, this.dependencies.timer().nowMs(), LedgerSettings.DEFAULT.forgetMs(),
					this.dependencies.events());
		}
	}

	private LedgerMembers members() {
		return this.dependencies.members();
	}

	/**
	 * How a request to a member ended.
	 */
	enum MemberOutcome {

		/** The member answered. */
		ANSWERED,

		/** The member answered that it can't do it. */
		REFUSED,

		/** The member runs a version that keeps no turns. */
		UNSUPPORTED,

		/** The member did not answer. */
		UNREACHABLE

	}

}
