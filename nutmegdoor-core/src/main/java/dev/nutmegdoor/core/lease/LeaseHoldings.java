package dev.nutmegdoor.core.lease;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import dev.nutmegdoor.core.id.InstanceId;

/**
 * Durable record of what this instance owns under its lease, as numbers by name. The
 * instance that fences the lease receives the last recorded values. All methods must be
 * called on the control thread.
 */
public interface LeaseHoldings {

	/**
	 * Returns the name of the entry with which a successor records that it has taken over
	 * the holdings of a fenced instance. The value of the entry is 1.
	 * @param holder the fenced instance
	 * @return name of the entry in the successor's holdings
	 */
	static String takeoverKey(InstanceId holder) {
		return "adopted/" + holder.value();
	}

	/**
	 * Records changed entries at the witnesses, or in the store if too few witnesses
	 * reply.
	 * @param changes entries with their new values; 0 removes an entry
	 * @return completes with {@code true} once a successor is certain to receive these
	 * values or later ones, or with {@code false} if that is unknown
	 */
	CompletableFuture<Boolean> record(Map<String, Long> changes);

	/**
	 * Registers a listener for the holdings of fenced instances.
	 * @param listener receives the holdings of instances whose successor is this one
	 */
	void subscribeTakeover(TakeoverListener listener);

	/**
	 * Reads the last holdings of a fenced instance from the store.
	 * @param holder the fenced instance
	 * @return the holdings, or {@code null} if the instance is not fenced, its last
	 * holdings are not certain, or the store cannot be read
	 */
	CompletableFuture<@Nullable Map<String, Long>> finalHoldings(InstanceId holder);

}
