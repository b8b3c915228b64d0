/**
 * Invariants that are asserted while the program runs, with counters of checks and
 * violations.
 */
@NullMarked
package dev.nutmegdoor.core.invariant;

import org.jspecify.annotations.NullMarked;
