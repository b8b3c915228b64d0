/**
 * What the processes on the users' platform have in common: their way to the platform's
 * store, metrics and state for operators.
 */
@NullMarked
package dev.nutmegdoor.node.process;

import org.jspecify.annotations.NullMarked;
