package dev.nutmegdoor.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * Cache memory of an engine: prefixes of idle programs, evicted in the order of their
 * last use, and the tokens of running sequences, which cannot be evicted.
 */
final class PrefixCache {

	private final Map<String, CachedPrefix> idle = new LinkedHashMap<>(64, 0.75f, true);

	private final int capacityTokens;

	private final BiConsumer<String, Integer> changes;

	private long idleTokens;

	private long runningTokens;

	/**
	 * Creates an empty cache.
	 * @param capacityTokens tokens that fit
	 * @param changes receives the owner and the tokens now held, 0 after an eviction
	 */
	PrefixCache(int capacityTokens, BiConsumer<String, Integer> changes) {
		this.capacityTokens = capacityTokens;
		this.changes = changes;
	}

	/**
	 * Returns how many tokens of a prompt are cached.
	 * @param owner owner of the prompt
	 * @param model model of the request
	 * @param hashes hashes of the prompt's prefixes
	 * @param promptTokens tokens of the prompt
	 * @return tokens that need no prefill; at least one token always does
	 */
	int matchedTokens(String owner, String model, List<Long> hashes, int promptTokens) {
		CachedPrefix prefix = this.idle.get(owner);
		if (prefix == null || !prefix.model().equals(model)) {
			return 0;
		}
		int known = Math.min(prefix.prefixHashes().size(), hashes.size());
		int equal = known;
		while (equal > 0 && !prefix.prefixHashes().get(equal - 1).equals(hashes.get(equal - 1))) {
			equal--;
		}
		// Hashes are chained: if the last known one is equal, the whole prefix is.
		int matched = (equal == known) ? prefix.tokens() : (int) ((long) prefix.tokens() * equal / known);
		return Math.max(0, Math.min(matched, promptTokens - 1));
	}

	/**
	 * Takes memory for a sequence, evicting idle prefixes.
	 * @param owner owner of the sequence, whose idle prefix becomes part of it
	 * @param tokens tokens of the whole sequence
	 * @return {@code false} if the memory does not suffice
	 */
	boolean reserve(String owner, int tokens) {
		if (this.runningTokens + tokens > this.capacityTokens && this.runningTokens > 0) {
			return false;
		}
		CachedPrefix own = this.idle.remove(owner);
		if (own != null) {
			this.idleTokens -= own.tokens();
		}
		this.runningTokens += tokens;
		shrink();
		return true;
	}

	/**
	 * Turns the memory of an ended sequence into an idle prefix.
	 * @param prefix what remains cached
	 * @param reservedTokens tokens that were reserved
	 */
	void finish(CachedPrefix prefix, int reservedTokens) {
		this.runningTokens -= reservedTokens;
		put(prefix);
	}

	void put(CachedPrefix prefix) {
		CachedPrefix old = this.idle.put(prefix.owner(), prefix);
		this.idleTokens += prefix.tokens() - ((old != null) ? old.tokens() : 0);
		this.changes.accept(prefix.owner(), prefix.tokens());
		shrink();
	}

	@Nullable CachedPrefix get(String owner) {
		return this.idle.get(owner);
	}

	boolean release(String owner) {
		CachedPrefix prefix = this.idle.remove(owner);
		if (prefix == null) {
			return false;
		}
		this.idleTokens -= prefix.tokens();
		this.changes.accept(owner, 0);
		return true;
	}

	void clear() {
		this.idle.clear();
		this.idleTokens = 0;
		this.runningTokens = 0;
	}

	long usedTokens() {
		return this.idleTokens + this.runningTokens;
	}

	private void shrink() {
		Iterator<CachedPrefix> oldest = this.idle.values().iterator();
		while (usedTokens() > this.capacityTokens && oldest.hasNext()) {
			CachedPrefix prefix = oldest.next();
			oldest.remove();
			this.idleTokens -= prefix.tokens();
			this.changes.accept(prefix.owner(), 0);
		}
	}

}
