/**
 * Measures the processor time of real processes of one or two builds in the same run.
 */
@NullMarked
package dev.nutmegdoor.experiment.processor;

import org.jspecify.annotations.NullMarked;
