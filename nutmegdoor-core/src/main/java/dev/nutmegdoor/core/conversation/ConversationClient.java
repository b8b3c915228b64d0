package dev.nutmegdoor.core.conversation;

import java.util.concurrent.CompletableFuture;

/**
 * Stores turns on members of the ledger and reads the chains that later turns continue.
 * Starts no timer unless a turn is being stored or read. Runs on the control thread.
 */
public final class ConversationClient {

	/**
	 * Maximum size of the input and the output of a turn together in bytes; a turn and
	 * its envelope must fit into one message of 4 MiB.
	 */
	public static final int MAX_TURN_BYTES = 4_000_000;

	/** Memory for recent turns in bytes. */
	static final long CACHE_BYTES = 2L * 1024 * 1024;

	private final ConversationDependencies dependencies;

	private final ChainMemory memory;

	private final TurnMembers members;

	private final TurnCache cache = new TurnCache(CACHE_BYTES);

	private int pendingOperations;

	/**
	 * Creates a client.
	 * @param dependencies transport, members, timer and settings
	 * @param memory bounds the memory of chains
	 */
	public ConversationClient(ConversationDependencies dependencies, ChainMemory memory) {
		this.dependencies = dependencies;
		this.memory = memory;
		this.members = new TurnMembers(dependencies);
	}

	/**
	 * Stores a turn on enough members to survive the failures that the settings name.
	 * @param turn the turn
	 * @return completes when enough members have confirmed that the turn is on their
	 * disks; fails with {@link ConversationException} after 1,000 ms at the latest
	 */
	public CompletableFuture<Void> store(StoredTurn turn) {
		if (turn.input().length + turn.output().length > MAX_TURN_BYTES) {
			return CompletableFuture.failedFuture(new ConversationException(ConversationFailure.NOT_STORED,
					"the turn has more than " + MAX_TURN_BYTES + " bytes"));
		}
		TurnStoreAttempt attempt = new TurnStoreAttempt(this.dependencies, this.members, turn);
		this.pendingOperations++;
		attempt.start();
		return attempt.result().whenComplete((stored, error) -> {
			this.pendingOperations--;
			if (error == null) {
				this.cache.put(turn, this.dependencies.timer().nowMs());
			}
		});
	}

	/**
	 * Reads a turn and all turns before it.
	 * @param key workspace and identifier of the turn
	 * @param groupHint group that the turn probably belongs to; a wrong one costs time
	 * @param maxBytes maximum size of the chain in bytes
	 * @return the chain, whose bytes are reserved in the {@link ChainMemory}; fails with
	 * {@link ConversationException}
	 */
	public CompletableFuture<Chain> read(TurnKey key, String groupHint, int maxBytes) {
		ChainReadAttempt attempt = new ChainReadAttempt(this.dependencies, this.members, this.cache, this.memory, key,
				groupHint, maxBytes);
		this.pendingOperations++;
		attempt.start();
		return attempt.result().whenComplete((chain, error) -> this.pendingOperations--);
	}

	/**
	 * Describes the state for operators.
	 * @return number of operations in progress, members that keep turns and sizes
	 */
	public String dump() {
		return "{pending=" + this.pendingOperations + " members=" + this.members.all().size() + " cacheBytes="
				+ this.cache.usedBytes() + " chainBytes=" + this.memory.usedBytes() + "}";
	}

}
