/**
 * Decides whether replicas are reached directly or through other instances, and through
 * which.
 */
@NullMarked
package dev.nutmegdoor.core.reachability;

import org.jspecify.annotations.NullMarked;
