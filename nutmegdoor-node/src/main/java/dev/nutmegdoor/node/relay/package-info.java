/**
 * Forwards requests of clients to replicas, and responses back, without changing their
 * content.
 */
@NullMarked
package dev.nutmegdoor.node.relay;

import org.jspecify.annotations.NullMarked;
