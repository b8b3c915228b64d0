package dev.nutmegdoor.core.schedule;

/**
 * Determines the position of a call in a queue.
 *
 * @param priority priority of the call; lower is more urgent
 * @param weight weight of the workspace in fair queueing
 * @param account account to which the service time is charged: the root program, or the
 * decision identifier for a call without a program
 * @param orderMs position within the workspace as a virtual time in milliseconds; lower
 * is earlier. It is computed once, because all waiting calls age at the same rate
 */
record CallOrder(int priority, int weight, String account, double orderMs) {

}
