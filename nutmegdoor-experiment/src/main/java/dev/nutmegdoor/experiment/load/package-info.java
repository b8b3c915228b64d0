/**
 * Load generator: callers of a deployment on real sockets, what they observe, and the
 * demonstration that runs them against a whole fleet in one process.
 */
@NullMarked
package dev.nutmegdoor.experiment.load;

import org.jspecify.annotations.NullMarked;
