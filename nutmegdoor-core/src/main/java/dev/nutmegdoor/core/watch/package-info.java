/**
 * Sharing of the watches on the platform's store between the instances of a zone.
 */
@NullMarked
package dev.nutmegdoor.core.watch;

import org.jspecify.annotations.NullMarked;
