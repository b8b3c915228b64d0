/**
 * Operator API: an HTTP server on its own address with its own credentials and roles.
 */
@NullMarked
package dev.nutmegdoor.node.operator;

import org.jspecify.annotations.NullMarked;
