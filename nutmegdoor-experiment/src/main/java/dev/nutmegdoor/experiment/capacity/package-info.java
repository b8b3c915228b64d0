/**
 * Measures how the cost of control grows with the size of a deployment and extrapolates
 * it to a target size.
 */
@NullMarked
package dev.nutmegdoor.experiment.capacity;

import org.jspecify.annotations.NullMarked;
