/**
 * Fault matrix: every step of every protocol with every kind of fault.
 */
@NullMarked
package dev.nutmegdoor.experiment.faults;

import org.jspecify.annotations.NullMarked;
