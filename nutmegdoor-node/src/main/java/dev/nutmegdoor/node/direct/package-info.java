/**
 * Implementations of rate limiting, authentication and programs for an entry instance
 * that shares no state with other instances.
 */
@NullMarked
package dev.nutmegdoor.node.direct;

import org.jspecify.annotations.NullMarked;
