/**
 * Time for decisions and state machines: one timer service that parts subscribe to, with
 * a virtual implementation for tests and randomised runs.
 */
@NullMarked
package dev.nutmegdoor.core.time;

import org.jspecify.annotations.NullMarked;
