package dev.nutmegdoor.core.time;

/**
 * Handle of a scheduled task or a subscription.
 */
@FunctionalInterface
public interface Subscription {

	/**
	 * Cancels the task or subscription. Repeated calls have no effect.
	 */
	void cancel();

}
