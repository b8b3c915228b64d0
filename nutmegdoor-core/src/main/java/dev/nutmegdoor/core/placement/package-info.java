/**
 * Selects the replica for each call, based on load reports, cache events and numbers of
 * calls in flight, all of which may be out of date. Also contains outlier detection,
 * cache retention and orders to engines.
 */
@NullMarked
package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.NullMarked;
