/**
 * Homes of programs. The home of a program is the instance that owns the program's
 * partition; it keeps the replicated log and the history of the program, runs its calls
 * in order and enforces its budget.
 */
@NullMarked
package dev.nutmegdoor.core.program;

import org.jspecify.annotations.NullMarked;
