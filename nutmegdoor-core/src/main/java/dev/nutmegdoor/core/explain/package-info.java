/**
 * Records of decisions, their retention and their verification by replay.
 */
@NullMarked
package dev.nutmegdoor.core.explain;

import org.jspecify.annotations.NullMarked;
