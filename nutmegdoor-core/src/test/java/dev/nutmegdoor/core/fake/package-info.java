/**
 * In-memory implementations of the ports on virtual time with seeded faults, for tests
 * and randomized simulations.
 */
@NullMarked
package dev.nutmegdoor.core.fake;

import org.jspecify.annotations.NullMarked;
