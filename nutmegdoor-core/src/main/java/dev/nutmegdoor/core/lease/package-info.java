/**
 * The lease on which everything an instance owns depends, and the fencing of instances
 * whose lease expired.
 */
@NullMarked
package dev.nutmegdoor.core.lease;

import org.jspecify.annotations.NullMarked;
