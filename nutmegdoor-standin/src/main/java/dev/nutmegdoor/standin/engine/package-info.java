/**
 * Model of a model engine on the timer service: continuous batching, limited prefix
 * cache, lagging reports, late cache events and seeded faults.
 */
@NullMarked
package dev.nutmegdoor.standin.engine;

import org.jspecify.annotations.NullMarked;
