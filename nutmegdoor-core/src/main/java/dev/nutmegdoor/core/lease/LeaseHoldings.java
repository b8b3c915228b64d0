package dev.nutmegdoor.core.lease;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Durable record of what this instance owns under its lease: small numbers by name. The
 * instance that fences the lease receives the last recorded values.
 */
public interface LeaseHoldings {

	/**
	 * Returns the name of the entry with which an heir records that it has adopted the
	 * holdings of a fenced instance.
	 * @param holder the fenced instance
	 * @return name of an entry with the value 1
	 */
	static String takeoverKey(InstanceId holder) {
		return "adopted/" + holder.value();
	}

	/**
	 * Records changed entries at the witnesses, or in the store if they don't answer.
	 * @param changes entries with their new values; 0 removes an entry
	 * @return {@code true} once the values, or later ones, will be part of the holdings
	 * that a fencer receives; {@code false} if that is unknown
	 */
	CompletableFuture<Boolean> record(Map<String, Long> changes);

	/**
	 * Registers the owner of the entries.
	 * @param listener receives the holdings of instances that this one has fenced
	 */
	void subscribeTakeover(TakeoverListener listener);

	/**
	 * Reads the last holdings of an instance whose lease has ended.
	 * @param holder the instance
	 * @return the holdings, or {@code null} if the lease has not ended or the holdings
	 * are not known for certain
	 */
	CompletableFuture<@Nullable Map<String, Long>> finalHoldings(InstanceId holder);

}
