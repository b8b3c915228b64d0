/**
 * Invariants that are checked at run time, with counters of checks and violations.
 */
@NullMarked
package dev.nutmegdoor.core.invariant;

import org.jspecify.annotations.NullMarked;
