/**
 * Rate limiting across all instances, in which each instance reports its admissions to
 * the others.
 */
@NullMarked
package dev.nutmegdoor.core.usage;

import org.jspecify.annotations.NullMarked;
