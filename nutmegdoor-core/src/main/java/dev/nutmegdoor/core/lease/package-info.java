/**
 * Leases, which permit an instance to act on what it owns, and the fencing of instances
 * whose lease has expired.
 */
@NullMarked
package dev.nutmegdoor.core.lease;

import org.jspecify.annotations.NullMarked;
