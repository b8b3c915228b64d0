package dev.nutmegdoor.core.schedule;

/**
 * What orders a call in the queue.
 *
 * @param priority priority of the kind of work; lower is more urgent
 * @param weight weight of the workspace
 * @param account account to which service is charged: the root program
 * @param orderMs position within the workspace; lower is earlier. It does not change
 * while the call waits: all terms age equally fast
 */
record CallOrder(int priority, int weight, String account, double orderMs) {

}
