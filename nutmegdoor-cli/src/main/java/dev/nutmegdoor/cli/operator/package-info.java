/**
 * Commands that talk to the operator API of an entry instance.
 */
@NullMarked
package dev.nutmegdoor.cli.operator;

import org.jspecify.annotations.NullMarked;
