/**
 * Ledger of the tokens that programs have generated. It is replicated on the machines
 * that have disks and survives a restart of all of them. Under a network partition, the
 * reachable replicas grant their share of each budget.
 */
@NullMarked
package dev.nutmegdoor.core.ledger;

import org.jspecify.annotations.NullMarked;
