/**
 * Cluster membership: discovery of instances, heartbeats and failure detection.
 */
@NullMarked
package dev.nutmegdoor.core.membership;

import org.jspecify.annotations.NullMarked;
