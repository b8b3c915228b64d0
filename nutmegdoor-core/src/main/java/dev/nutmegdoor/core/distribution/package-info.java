/**
 * Propagation of state to all instances at a bounded cost per instance, shared by the
 * configuration and the withdrawal of keys.
 */
@NullMarked
package dev.nutmegdoor.core.distribution;

import org.jspecify.annotations.NullMarked;
