/**
 * Recognises requests that crash the replicas that run them, and keeps them from further
 * replicas.
 */
@NullMarked
package dev.nutmegdoor.core.quarantine;

import org.jspecify.annotations.NullMarked;
