/**
 * HTTP server for clients: filter chain, routes, responses and problem details.
 */
@NullMarked
package dev.nutmegdoor.node.entry;

import org.jspecify.annotations.NullMarked;
