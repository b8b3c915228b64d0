/**
 * Calls of callers: their requests, results and refusals, and the operations that run at
 * most once.
 */
@NullMarked
package dev.nutmegdoor.core.call;

import org.jspecify.annotations.NullMarked;
