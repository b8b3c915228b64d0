package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import dev.nutmegdoor.core.fake.FakeHost;

/** Disk that keeps the turns of completed writes when the process crashes. */
final class MemoryTurnLog implements TurnLog {

	static final long WRITE_MS = 1;

	final Map<TurnKey, StoredTurn> durable = new LinkedHashMap<>();

	final Set<TurnKey> damaged = new HashSet<>();

	private final Map<TurnKey, Long> expiresWallMs = new LinkedHashMap<>();

	private final FakeHost host;

	boolean isFull;

	boolean isComplete = true;

	MemoryTurnLog(FakeHost host, MemoryTurnLog earlier) {
		this.host = host;
		this.durable.putAll(earlier.durable);
		this.expiresWallMs.putAll(earlier.expiresWallMs);
		this.isComplete = earlier.isComplete;
		this.isFull = earlier.isFull;
	}

	MemoryTurnLog(FakeHost host, boolean isComplete) {
		this.host = host;
		this.isComplete = isComplete;
	}

	List<TurnSummary> recovered() {
		return this.durable.values()
			.stream()
			.map((turn) -> new TurnSummary(turn.key(), turn.previousId(), turn.group(),
					turn.input().length + turn.output().length,
					this.expiresWallMs.get(turn.key()) - this.host.wallClockMs()))
			.toList();
	}

	@Override
	public CompletableFuture<Void> append(StoredTurn turn, long keepMs) {
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.host.schedule(WRITE_MS, () -> {
			if (this.isFull) {
				result.completeExceptionally(new TurnLogException("no space left on device", null));
				return;
			}
			this.durable.put(turn.key(), turn);
			this.expiresWallMs.put(turn.key(), this.host.wallClockMs() + keepMs);
			result.complete(null);
		});
		return result;
	}

	@Override
	public CompletableFuture<List<StoredTurn>> read(List<TurnKey> keys) {
		CompletableFuture<List<StoredTurn>> result = new CompletableFuture<>();
		this.host.schedule(WRITE_MS, () -> {
			List<StoredTurn> turns = new ArrayList<>();
			for (TurnKey key : keys) {
				StoredTurn turn = this.durable.get(key);
				if (turn != null && !this.damaged.contains(key)) {
					turns.add(turn);
				}
			}
			result.complete(turns);
		});
		return result;
	}

	@Override
	public void remove(Collection<TurnKey> keys) {
		keys.forEach(this.durable::remove);
		keys.forEach(this.expiresWallMs::remove);
		this.damaged.removeAll(Set.copyOf(keys));
	}

	@Override
	public void setComplete(boolean isComplete) {
		this.isComplete = isComplete;
	}

	@Override
	public long sizeBytes() {
		return 0;
	}

}
