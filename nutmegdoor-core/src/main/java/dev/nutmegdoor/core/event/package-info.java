/**
 * Port for the event log, whose events have {@code key=value} fields.
 */
@NullMarked
package dev.nutmegdoor.core.event;

import org.jspecify.annotations.NullMarked;
