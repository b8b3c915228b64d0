/**
 * The control thread, on which all control state of an instance lives.
 */
@NullMarked
package dev.nutmegdoor.node.control;

import org.jspecify.annotations.NullMarked;
