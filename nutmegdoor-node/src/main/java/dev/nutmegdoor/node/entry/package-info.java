/**
 * HTTP server for callers: filter chain, routes, answers and problem details.
 */
@NullMarked
package dev.nutmegdoor.node.entry;

import org.jspecify.annotations.NullMarked;
