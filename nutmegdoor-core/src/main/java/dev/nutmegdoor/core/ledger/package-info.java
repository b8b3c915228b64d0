/**
 * Ledger of the tokens that programs have generated. It is kept on the machines with
 * disks and survives the restart of all of them; any part of it that can be reached
 * grants its share of a budget.
 */
@NullMarked
package dev.nutmegdoor.core.ledger;

import org.jspecify.annotations.NullMarked;
