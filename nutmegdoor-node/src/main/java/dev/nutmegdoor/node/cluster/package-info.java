/**
 * Composition of an entry instance that shares leases, rates, configuration, keys and
 * programs with the other instances of a deployment.
 */
@NullMarked
package dev.nutmegdoor.node.cluster;

import org.jspecify.annotations.NullMarked;
