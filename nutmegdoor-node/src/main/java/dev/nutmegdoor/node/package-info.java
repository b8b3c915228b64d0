/**
 * Composes servers, clients and controllers into an entry instance.
 */
@NullMarked
package dev.nutmegdoor.node;

import org.jspecify.annotations.NullMarked;
