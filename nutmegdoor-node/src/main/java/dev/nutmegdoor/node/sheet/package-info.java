/**
 * The planners' sheet: parsing, checks, comparison with the configuration in force, and
 * loading as one change.
 */
@NullMarked
package dev.nutmegdoor.node.sheet;

import org.jspecify.annotations.NullMarked;
