/**
 * Homes of programs: partitions and their owners, the replicated log, histories, order
 * and budgets.
 */
@NullMarked
package dev.nutmegdoor.core.program;

import org.jspecify.annotations.NullMarked;
