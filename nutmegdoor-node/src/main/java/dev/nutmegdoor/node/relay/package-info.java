/**
 * Passes clients' requests on to replicas and the answers back, without changing either.
 */
@NullMarked
package dev.nutmegdoor.node.relay;

import org.jspecify.annotations.NullMarked;
