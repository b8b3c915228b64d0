/**
 * Rates and bursts of workspaces that hold across all instances.
 */
@NullMarked
package dev.nutmegdoor.core.limit;

import org.jspecify.annotations.NullMarked;
