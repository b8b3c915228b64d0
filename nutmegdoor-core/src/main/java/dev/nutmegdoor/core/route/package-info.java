/**
 * Routes of the operators' configuration: which service a request goes to and what may be
 * done with it.
 */
@NullMarked
package dev.nutmegdoor.core.route;

import org.jspecify.annotations.NullMarked;
