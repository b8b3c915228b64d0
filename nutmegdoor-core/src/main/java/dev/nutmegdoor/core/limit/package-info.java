/**
 * Rate limiting across all instances: token buckets whose capacity is transferred between
 * the instances.
 */
@NullMarked
package dev.nutmegdoor.core.limit;

import org.jspecify.annotations.NullMarked;
