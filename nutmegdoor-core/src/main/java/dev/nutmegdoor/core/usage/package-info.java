/**
 * Rates of workspaces over all instances: each instance tells the others what it admits.
 */
@NullMarked
package dev.nutmegdoor.core.usage;

import org.jspecify.annotations.NullMarked;
