/**
 * Calls: their requests, results and refusals, at-most-once operations, and the
 * forwarding of calls between instances.
 */
@NullMarked
package dev.nutmegdoor.core.call;

import org.jspecify.annotations.NullMarked;
