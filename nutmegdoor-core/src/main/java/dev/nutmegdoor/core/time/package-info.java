/**
 * Time for decisions and state machines: the timer service, with a virtual implementation
 * for tests and randomized simulations.
 */
@NullMarked
package dev.nutmegdoor.core.time;

import org.jspecify.annotations.NullMarked;
