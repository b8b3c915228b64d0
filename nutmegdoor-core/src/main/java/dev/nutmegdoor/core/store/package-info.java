/**
 * Port of the platform's object API: versioned objects, conditional updates, watches.
 */
@NullMarked
package dev.nutmegdoor.core.store;

import org.jspecify.annotations.NullMarked;
