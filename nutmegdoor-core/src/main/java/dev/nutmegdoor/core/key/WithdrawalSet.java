package dev.nutmegdoor.core.key;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.KeyId;

/**
 * Grow-only set of withdrawals with digests by which two instances determine which
 * withdrawals the other lacks. Modified on the control thread only; withdrawals may be
 * read from any thread.
 */
final class WithdrawalSet {

	/** Number of digest buckets and of objects in the store. */
	static final int BUCKET_COUNT = 64;

	private final long[] digests = new long[BUCKET_COUNT];

	private volatile Map<KeyId, KeyWithdrawal> withdrawals = Map.of();

	static int bucketOf(KeyId key) {
		return (int) Long.remainderUnsigned(hash(key), BUCKET_COUNT);
	}

	@Nullable KeyWithdrawal get(KeyId key) {
		return this.withdrawals.get(key);
	}

	boolean contains(KeyId key) {
		return this.withdrawals.containsKey(key);
	}

	Collection<KeyWithdrawal> all() {
		return this.withdrawals.values();
	}

	/**
	 * Adds withdrawals; a key that is already withdrawn keeps its first withdrawal.
	 * @param added withdrawals to add
	 * @return the withdrawals that were not yet in the set
	 */
	List<KeyWithdrawal> addAll(Collection<KeyWithdrawal> added) {
		List<KeyWithdrawal> newWithdrawals = new ArrayList<>();
		Map<KeyId, KeyWithdrawal> merged = new HashMap<>(this.withdrawals);
		for (KeyWithdrawal withdrawal : added) {
			if (merged.putIfAbsent(withdrawal.key(), withdrawal) == null) {
				newWithdrawals.add(withdrawal);
				this.digests[bucketOf(withdrawal.key())] ^= Long.rotateLeft(hash(withdrawal.key()), 17);
			}
		}
		if (!newWithdrawals.isEmpty()) {
			this.withdrawals = merged;
		}
		return newWithdrawals;
	}

	List<Long> bucketDigests() {
		List<Long> result = new ArrayList<>();
		for (long digest : this.digests) {
			result.add(digest);
		}
		return result;
	}

	/**
	 * Returns a digest that is equal for equal sets.
	 * @return the number of withdrawals, a hyphen and a hash in hexadecimal
	 */
	String digest() {
		long combined = 0;
		for (long digest : this.digests) {
			combined = 31 * combined + digest;
		}
		return this.withdrawals.size() + "-" + Long.toHexString(combined);
	}

	/**
	 * Returns the withdrawals in the buckets whose digests differ.
	 * @param otherDigests digests of another instance by bucket
	 * @param maxCount maximum number of withdrawals
	 * @return the withdrawals in no particular order
	 */
	List<KeyWithdrawal> inDifferingBuckets(List<Long> otherDigests, int maxCount) {
		List<KeyWithdrawal> result = new ArrayList<>();
		for (KeyWithdrawal withdrawal : all()) {
			int bucket = bucketOf(withdrawal.key());
			boolean isEqual = bucket < otherDigests.size() && otherDigests.get(bucket) == this.digests[bucket];
			if (!isEqual && result.size() < maxCount) {
				result.add(withdrawal);
			}
		}
		return result;
	}

	private static long hash(KeyId key) {
		return LongHashFunction.xx3().hashBytes(key.value().getBytes(StandardCharsets.UTF_8));
	}

}
