/**
 * Randomised runs: the controllers of several instances in one process on virtual time,
 * with faults from a seed and an observer for invariants that span instances.
 */
@NullMarked
package dev.nutmegdoor.experiment.soak;

import org.jspecify.annotations.NullMarked;
