/**
 * Port for messages between instances.
 */
@NullMarked
package dev.nutmegdoor.core.peer;

import org.jspecify.annotations.NullMarked;
