/**
 * Protocol steps at which the fault matrix injects crashes and pauses.
 */
@NullMarked
package dev.nutmegdoor.core.fault;

import org.jspecify.annotations.NullMarked;
