/**
 * Stand-in of the platform: object API and instance list over HTTP with seeded faults.
 */
@NullMarked
package dev.nutmegdoor.standin.platform;

import org.jspecify.annotations.NullMarked;
