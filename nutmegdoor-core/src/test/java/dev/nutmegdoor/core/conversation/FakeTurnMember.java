package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.fake.FakeHost;
import dev.nutmegdoor.core.ledger.LedgerMember;
import dev.nutmegdoor.core.peer.PeerTransport;

/**
 * Member that keeps turns in memory and fails as a test says.
 */
final class FakeTurnMember {

	final LedgerMember member;

	final FakeHost host;

	final Map<TurnKey, StoredTurn> turns = new LinkedHashMap<>();

	/** Members that the answers of this one list. */
	List<LedgerMember> listedMembers = List.of();

	boolean isComplete = true;

	/** Maximum number of turns in an answer. */
	int maxTurns = Integer.MAX_VALUE;

	int receivedStores;

	int receivedQueries;

	/** Error with which requests are answered. */
	@Nullable String error;

	/** Whether the turn is stored although its confirmation is lost. */
	boolean isConfirmationLost;

	FakeTurnMember(LedgerMember member, FakeHost host, PeerTransport transport) {
		this.member = member;
		this.host = host;
		transport.subscribe(TurnStore.class, (from, message) -> store(message.turn()));
		transport.subscribe(TurnQuery.class, (from, message) -> query(message.key()));
	}

	private CompletableFuture<TurnStored> store(StoredTurn turn) {
		this.receivedStores++;
		if (this.error != null) {
			return CompletableFuture.failedFuture(new IllegalStateException(this.error));
		}
		this.turns.put(turn.key(), turn);
		return this.isConfirmationLost ? new CompletableFuture<>()
				: CompletableFuture.completedFuture(new TurnStored(turn.key()));
	}

	private CompletableFuture<TurnChain> query(TurnKey key) {
		this.receivedQueries++;
		if (this.error != null) {
			return CompletableFuture.failedFuture(new IllegalStateException(this.error));
		}
		List<StoredTurn> chain = new ArrayList<>();
		String nextId = key.id();
		while (nextId != null && chain.size() < this.maxTurns) {
			StoredTurn turn = this.turns.get(new TurnKey(key.workspace(), nextId));
			if (turn == null) {
				break;
			}
			chain.add(turn);
			nextId = turn.previousId();
		}
		return CompletableFuture.completedFuture(
				new TurnChain(this.isComplete, chain, chain.isEmpty() ? null : nextId, this.listedMembers));
	}

}
