/**
 * Typed identifiers of instances, workspaces, upstreams, programs, keys and decisions.
 */
@NullMarked
package dev.nutmegdoor.core.id;

import org.jspecify.annotations.NullMarked;
