/**
 * The control thread, to which all control state of an instance is confined.
 */
@NullMarked
package dev.nutmegdoor.node.control;

import org.jspecify.annotations.NullMarked;
