package dev.nutmegdoor.core.ledger;

import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Further state that the replicas of the ledger keep. It shares their member list, their
 * probes, and the decision when a replica has left. Called on the control thread.
 */
public interface ReplicatedState {

	/** No further state. */
	ReplicatedState NONE = new ReplicatedState() {

		@Override
		public @Nullable Long itemCount() {
			return null;
		}

		@Override
		public void joined() {
		}

		@Override
		public void membersChanged() {
		}

		@Override
		public void memberRegained(InstanceId id) {
		}

		@Override
		public void memberAnswered(LedgerMember member, @Nullable Long itemCount) {
		}

		@Override
		public CompletableFuture<Void> handOver() {
			return CompletableFuture.completedFuture(null);
		}

	};

	/**
	 * Returns the number of items that this replica has, which its answers to probes
	 * contain.
	 * @return number of items, or {@code null} if there are none
	 */
	@Nullable Long itemCount();

	/**
	 * Called when the replica knows the registered members.
	 */
	void joined();

	/**
	 * Called when a member was added or removed, or has another address.
	 */
	void membersChanged();

	/**
	 * Called when a member that was unreachable has replied.
	 * @param id the member
	 */
	void memberRegained(InstanceId id);

	/**
	 * Called for each answer of a member to a probe.
	 * @param member the member
	 * @param itemCount number of items that the member has, or {@code null} if it has
	 * none or its version does not know this state
	 */
	void memberAnswered(LedgerMember member, @Nullable Long itemCount);

	/**
	 * Transfers all items to the other members, because this replica leaves.
	 * @return completes when the other members have stored the items; fails if they
	 * haven't, and may then be called again
	 */
	CompletableFuture<Void> handOver();

}
