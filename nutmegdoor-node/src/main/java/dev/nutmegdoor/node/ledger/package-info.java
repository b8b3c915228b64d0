/**
 * Replicas of the token ledger as processes: disk, connections, the platform's orders.
 */
@NullMarked
package dev.nutmegdoor.node.ledger;

import org.jspecify.annotations.NullMarked;
