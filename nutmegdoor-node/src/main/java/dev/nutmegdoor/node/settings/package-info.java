/**
 * Settings files in YAML and their complete validation.
 */
@NullMarked
package dev.nutmegdoor.node.settings;

import org.jspecify.annotations.NullMarked;
