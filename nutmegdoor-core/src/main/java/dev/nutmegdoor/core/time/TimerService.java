package dev.nutmegdoor.core.time;

/**
 * Source of time for decisions and state machines. All callbacks run on the control
 * thread of the instance, one at a time.
 *
 * @see VirtualTimerService
 */
public interface TimerService {

	/**
	 * Returns the monotonic time of this process.
	 * @return milliseconds since an arbitrary origin; never decreases
	 */
	long nowMs();

	/**
	 * Returns the wall-clock time, for human-readable records and for ages that must
	 * survive a restart. It may jump forwards or backwards, so no lease or limit may
	 * depend on it.
	 * @return milliseconds since the Unix epoch
	 */
	long wallClockMs();

	/**
	 * Runs a task once.
	 * @param delayMs delay from now in milliseconds; 0 runs the task after the current
	 * callback
	 * @param task task to run
	 * @return a handle that cancels the task if it has not run
	 */
	Subscription schedule(long delayMs, Runnable task);

	/**
	 * Runs a listener periodically, for the first time after one period.
	 * @param periodMs period in milliseconds, at least 1
	 * @param listener listener to run after each period
	 * @return a handle that cancels the subscription
	 */
	Subscription subscribe(long periodMs, Runnable listener);

}
