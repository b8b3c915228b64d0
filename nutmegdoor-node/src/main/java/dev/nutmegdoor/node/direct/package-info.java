/**
 * Single-instance implementations of the ports, for an instance that runs alone.
 */
@NullMarked
package dev.nutmegdoor.node.direct;

import org.jspecify.annotations.NullMarked;
