/**
 * Side by side comparison of ways to limit rates across instances, on virtual time.
 */
@NullMarked
package dev.nutmegdoor.experiment.limits;

import org.jspecify.annotations.NullMarked;
