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
 * Grow-only set of withdrawals with digests by which two instances find what the other
 * lacks. Changed on the control thread and read from any thread.
 */
final class WithdrawalSet {

	/** Buckets of the digest, and shards in the store. */
	static final int BUCKETS = 64;

	private final long[] digests = new long[BUCKETS];

	private volatile Map<KeyId, KeyWithdrawal> withdrawals = Map.of();

	static int bucketOf(KeyId key) {
		return (int) Long.remainderUnsigned(hash(key), BUCKETS);
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
	 * Adds withdrawals.
	 * @param added the withdrawals
	 * @return those that were not known
	 */
	List<KeyWithdrawal> addAll(Collection<KeyWithdrawal> added) {
		List<KeyWithdrawal> fresh = new ArrayList<>();
		Map<KeyId, KeyWithdrawal> copy = new HashMap<>(this.withdrawals);
		for (KeyWithdrawal withdrawal : added) {
			if (copy.putIfAbsent(withdrawal.key(), withdrawal) == null) {
				fresh.add(withdrawal);
				this.digests[bucketOf(withdrawal.key())] ^= Long.rotateLeft(hash(withdrawal.key()), 17);
			}
		}
		if (!fresh.isEmpty()) {
			this.withdrawals = copy;
		}
		return fresh;
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
	 * @return the number of withdrawals and a hash
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
	 * @param otherDigests digests of another instance
	 * @param limit largest number of withdrawals
	 * @return the withdrawals
	 */
	List<KeyWithdrawal> inDifferingBuckets(List<Long> otherDigests, int limit) {
		List<KeyWithdrawal> found = new ArrayList<>();
		for (KeyWithdrawal withdrawal : all()) {
			int bucket = bucketOf(withdrawal.key());
			boolean isEqual = bucket < otherDigests.size() && otherDigests.get(bucket) == this.digests[bucket];
			if (!isEqual && found.size() < limit) {
				found.add(withdrawal);
			}
		}
		return found;
	}

	private static long hash(KeyId key) {
		return LongHashFunction.xx3().hashBytes(key.value().getBytes(StandardCharsets.UTF_8));
	}

}
