/**
 * Port for the event log: one event with key=value fields.
 */
@NullMarked
package dev.nutmegdoor.core.event;

import org.jspecify.annotations.NullMarked;
