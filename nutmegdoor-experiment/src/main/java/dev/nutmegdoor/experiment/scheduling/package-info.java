/**
 * Compares scheduling policies on virtual time with the same arrivals.
 */
@NullMarked
package dev.nutmegdoor.experiment.scheduling;

import org.jspecify.annotations.NullMarked;
