/**
 * TCP transport for messages between instances.
 */
@NullMarked
package dev.nutmegdoor.node.peer;

import org.jspecify.annotations.NullMarked;
