/**
 * Set-up of the log that a process writes to standard output.
 */
@NullMarked
package dev.nutmegdoor.cli.logging;

import org.jspecify.annotations.NullMarked;
