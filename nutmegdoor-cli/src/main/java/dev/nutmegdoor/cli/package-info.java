/**
 * Command line: thin daemons and operator commands.
 */
@NullMarked
package dev.nutmegdoor.cli;

import org.jspecify.annotations.NullMarked;
