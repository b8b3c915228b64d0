/**
 * Authentication of callers' keys and their withdrawal.
 */
@NullMarked
package dev.nutmegdoor.core.key;

import org.jspecify.annotations.NullMarked;
