/**
 * Stand-in for the platform: its object API over HTTP, with seeded delays and faults.
 */
@NullMarked
package dev.nutmegdoor.standin.platform;

import org.jspecify.annotations.NullMarked;
