/**
 * Remembers which software version began a stream, so that a client can take it up at any
 * instance and get the rest from the same version.
 */
@NullMarked
package dev.nutmegdoor.core.stream;

import org.jspecify.annotations.NullMarked;
