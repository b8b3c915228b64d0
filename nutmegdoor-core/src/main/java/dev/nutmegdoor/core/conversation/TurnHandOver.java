package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.ledger.LedgerMembers;
import dev.nutmegdoor.core.peer.PeerException;
import dev.nutmegdoor.core.peer.PeerFailure;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Transfers the turns of a member that leaves to the members that are chosen for them
 * without it. A member that does not reply or that refuses a turn is replaced by the next
 * one; later it copies what it lacks by itself.
 */
final class TurnHandOver {

	private static final long ANSWER_TIMEOUT_MS = 1_000;

	private final PeerTransport transport;

	private final LedgerMembers members;

	private final TurnStorage storage;

	TurnHandOver(PeerTransport transport, LedgerMembers members, TurnStorage storage) {
		this.transport = transport;
		this.members = members;
		this.storage = storage;
	}

	/**
	 * Starts a transfer.
	 * @return completes when all turns are stored by the members that are chosen; fails
	 * if no other member stores turns at the moment
	 */
	CompletableFuture<Void> run() {
		Transfer transfer = new Transfer();
		this.members.all()
			.stream()
			.map(LedgerMember::id)
			.filter((id) -> !this.members.isReachable(id))
			.forEach(transfer.excluded::add);
		transfer.isRetryUseful = transfer.excluded.size() > 0 || this.members.all().isEmpty();
		return transfer.next();
	}

	/**
	 * Returns whether a request failed because the receiver is of a version that keeps no
	 * turns.
	 * @param error failure of the request
	 * @return {@code true} if the receiver does not know the type of the message
	 */
	static boolean isUnknownType(Throwable error) {
		Throwable cause = causeOf(error);
		return cause instanceof PeerException failure && failure.failure() == PeerFailure.REMOTE_ERROR
				&& String.valueOf(failure.getMessage()).contains("unknown type");
	}

	static Throwable causeOf(Throwable error) {
		Throwable cause = error.getCause();
		return (error instanceof CompletionException && cause != null) ? cause : error;
	}

	private final class Transfer {

		private final Set<InstanceId> excluded = new HashSet<>();

		private final Map<InstanceId, Set<TurnKey>> heldTurns = new HashMap<>();

		private boolean isRetryUseful;

		private CompletableFuture<Void> next() {
			List<CompletableFuture<Void>> running = TurnHandOver.this.storage.running();
			if (!running.isEmpty()) {
				return CompletableFuture.allOf(running.toArray(CompletableFuture[]::new))
					.handle((done, error) -> next())
					.thenCompose((next) -> next);
			}
			if (TurnHandOver.this.storage.index().size() == 0) {
				return CompletableFuture.completedFuture(null);
			}
			List<LedgerMember> candidates = TurnHandOver.this.members.all()
				.stream()
				.filter((member) -> !this.excluded.contains(member.id()))
				.toList();
			if (candidates.isEmpty() && !this.isRetryUseful) {
				// All others are of a version that keeps no turns, and waiting for them
				// would only delay the removal of this machine.
				return CompletableFuture.completedFuture(null);
			}
			if (candidates.isEmpty()) {
				return CompletableFuture
					.failedFuture(new PeerException(PeerFailure.TIMEOUT, "no other member stored the turns"));
			}
			Map<InstanceId, List<TurnIndex.Entry>> plan = plan(candidates);
			if (plan.isEmpty()) {
				return CompletableFuture.completedFuture(null);
			}
			Map.Entry<InstanceId, List<TurnIndex.Entry>> first = plan.entrySet().iterator().next();
			InstanceId receiver = first.getKey();
			CompletableFuture<?> step = this.heldTurns.containsKey(receiver) ? send(receiver, first.getValue())
					: list(receiver, null);
			return step.handle((done, error) -> {
				if (error != null) {
					this.excluded.add(receiver);
					this.isRetryUseful |= !isUnknownType(error);
				}
				return next();
			}).thenCompose((next) -> next);
		}

		private Map<InstanceId, List<TurnIndex.Entry>> plan(List<LedgerMember> candidates) {
			Map<String, List<LedgerMember>> chosenByGroup = new HashMap<>();
			Map<InstanceId, List<TurnIndex.Entry>> plan = new LinkedHashMap<>();
			for (TurnIndex.Entry entry : TurnHandOver.this.storage.index().all()) {
				List<LedgerMember> chosen = chosenByGroup.computeIfAbsent(entry.group(),
						(group) -> TurnOwners.chosen(group, candidates));
				for (LedgerMember member : chosen) {
					if (!this.heldTurns.getOrDefault(member.id(), Set.of()).contains(entry.key())) {
						plan.computeIfAbsent(member.id(), (id) -> new ArrayList<>()).add(entry);
					}
				}
			}
			return plan;
		}

		private CompletableFuture<Void> list(InstanceId receiver, @Nullable TurnKey after) {
			return TurnHandOver.this.transport
				.request(receiver, new TurnListRequest(0, after, null), TurnList.class, ANSWER_TIMEOUT_MS)
				.thenCompose((list) -> {
					this.heldTurns.computeIfAbsent(receiver, (id) -> new HashSet<>()).addAll(list.keys());
					boolean isLast = !list.hasMore() || list.keys().isEmpty();
					return isLast ? CompletableFuture.completedFuture(null)
							: list(receiver, list.keys().get(list.keys().size() - 1));
				});
		}

		private CompletableFuture<Void> send(InstanceId receiver, List<TurnIndex.Entry> entries) {
			return TurnHandOver.this.storage.read(entries)
				.thenCompose((turns) -> CompletableFuture
					.allOf(turns.stream().map((turn) -> send(receiver, turn)).toArray(CompletableFuture[]::new)));
		}

		private CompletableFuture<Void> send(InstanceId receiver, StoredTurn turn) {
			return TurnHandOver.this.transport
				.request(receiver, new TurnStore(turn), TurnStored.class, ANSWER_TIMEOUT_MS)
				.thenAccept(
						(stored) -> this.heldTurns.computeIfAbsent(receiver, (id) -> new HashSet<>()).add(turn.key()));
		}

	}

}
