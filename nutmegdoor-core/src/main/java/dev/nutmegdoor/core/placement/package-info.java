/**
 * Choice of the replica for a call, from lagging load reports, late cache events and
 * in-flight counts; outlier ejection, cache retention and orders to engines.
 */
@NullMarked
package dev.nutmegdoor.core.placement;

import org.jspecify.annotations.NullMarked;
