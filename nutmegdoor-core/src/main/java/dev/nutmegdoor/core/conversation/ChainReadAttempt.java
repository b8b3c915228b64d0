package dev.nutmegdoor.core.conversation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;
import dev.nutmegdoor.core.invariant.Invariant;

/**
 * Reads one chain, from the newest turn backwards, from the cache and from members.
 */
final class ChainReadAttempt {

	private final CompletableFuture<Chain> result = new CompletableFuture<>();

	private final ConversationDependencies dependencies;

	private final TurnMembers members;

	private final TurnCache cache;

	private final ChainMemory memory;

	private final TurnKey key;

	private final int maxBytes;

	private final long startedMs;

	/** Turns found so far, newest first. */
	private final List<StoredTurn> turns = new ArrayList<>();

	private final Set<String> turnIds = new HashSet<>();

	private final List<InstanceId> sources = new ArrayList<>();

	private String group;

	private int bytes;

	private @Nullable String wantedId;

	ChainReadAttempt(ConversationDependencies dependencies, TurnMembers members, TurnCache cache, ChainMemory memory,
			TurnKey key, String groupHint, int maxBytes) {
		this.dependencies = dependencies;
		this.members = members;
		this.cache = cache;
		this.memory = memory;
		this.key = key;
		this.group = groupHint;
		this.maxBytes = maxBytes;
		this.startedMs = dependencies.timer().nowMs();
		this.wantedId = key.id();
	}

	CompletableFuture<Chain> result() {
		return this.result;
	}

	void start() {
		proceed(null);
	}

	private void proceed(@Nullable InstanceId lastSource) {
		String wanted = this.wantedId;
		while (wanted != null && !this.result.isDone()) {
			StoredTurn cached = this.cache.get(new TurnKey(this.key.workspace(), wanted),
					this.dependencies.timer().nowMs());
			if (cached == null) {
				TurnSearch search = new TurnSearch(this.dependencies, this.members,
						new TurnKey(this.key.workspace(), wanted), this.group, lastSource);
				search.result().whenComplete((found, error) -> searched(search, found, error));
				search.start();
				return;
			}
			add(cached);
			wanted = this.wantedId;
		}
		if (!this.result.isDone()) {
			complete();
		}
	}

	private void searched(TurnSearch search, @Nullable TurnChain found, @Nullable Throwable error) {
		InstanceId source = search.source();
		if (found == null || source == null) {
			boolean isMissing = error instanceof ConversationException failed
					&& failed.failure() == ConversationFailure.NOT_FOUND;
			// A turn whose chain has a gap exists, so it is never reported as not found.
			fail((isMissing && this.turns.isEmpty()) ? ConversationFailure.NOT_FOUND : ConversationFailure.UNCERTAIN,
					search.describe());
			return;
		}
		this.sources.add(source);
		for (StoredTurn turn : found.turns()) {
			if (this.result.isDone() || !turn.key().id().equals(this.wantedId)) {
				break;
			}
			add(turn);
			this.cache.put(turn, this.dependencies.timer().nowMs());
		}
		if (!this.result.isDone()) {
			proceed(source);
		}
	}

	private void add(StoredTurn turn) {
		int turnBytes = turn.input().length + turn.output().length;
		boolean isValid = this.dependencies.invariants()
			.check(Invariant.WORKSPACE_ISOLATION, turn.key().workspace().equals(this.key.workspace()),
					() -> "turn " + turn.key() + " was returned for " + this.key)
				&& this.dependencies.invariants()
					.check(Invariant.HISTORY_INTEGRITY, this.turnIds.add(turn.key().id()),
							() -> "the chain of turn " + this.key + " contains " + turn.key().id() + " twice");
		if (!isValid) {
			fail(ConversationFailure.UNCERTAIN, "an invalid chain was returned");
		}
		else if (turnBytes > this.maxBytes - this.bytes) {
			fail(ConversationFailure.TOO_LARGE, "the chain has more than " + this.maxBytes + " bytes");
		}
		else if (!this.memory.reserve(turnBytes)) {
			fail(ConversationFailure.NO_MEMORY,
					"all memory for chains is in use: " + this.memory.usedBytes() + " bytes");
		}
		else {
			this.turns.add(turn);
			this.bytes += turnBytes;
			this.group = turn.group();
			this.wantedId = turn.previousId();
		}
	}

	private void complete() {
		List<StoredTurn> oldestFirst = new ArrayList<>(this.turns);
		Collections.reverse(oldestFirst);
		this.dependencies.events()
			.record("turn.read", "turn", this.key.id(), "workspace", this.key.workspace(), "turns", oldestFirst.size(),
					"bytes", this.bytes, "members", this.sources, "elapsedMs", elapsedMs());
		this.result.complete(new Chain(oldestFirst, this.bytes));
	}

	private void fail(ConversationFailure failure, String detail) {
		this.memory.release(this.bytes);
		this.dependencies.events()
			.record("turn.not-read", "turn", this.key.id(), "workspace", this.key.workspace(), "failure", failure,
					"turns", this.turns.size(), "missing", String.valueOf(this.wantedId), "detail", detail, "elapsedMs",
					elapsedMs());
		this.result.completeExceptionally(new ConversationException(failure, detail));
	}

	private long elapsedMs() {
		return this.dependencies.timer().nowMs() - this.startedMs;
	}

}
