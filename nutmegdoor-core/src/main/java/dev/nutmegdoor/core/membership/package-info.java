/**
 * Which instances there are and what state they are in.
 */
@NullMarked
package dev.nutmegdoor.core.membership;

import org.jspecify.annotations.NullMarked;
