/**
 * Messages of tunnels, over which an entry instance reaches a replica through another
 * entry instance.
 */
@NullMarked
package dev.nutmegdoor.core.tunnel;

import org.jspecify.annotations.NullMarked;
