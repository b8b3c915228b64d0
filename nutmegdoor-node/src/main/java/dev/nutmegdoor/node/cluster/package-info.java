/**
 * Composes an entry instance that shares leases, rate limits, configuration, keys and
 * programs with the other instances of its deployment.
 */
@NullMarked
package dev.nutmegdoor.node.cluster;

import org.jspecify.annotations.NullMarked;
