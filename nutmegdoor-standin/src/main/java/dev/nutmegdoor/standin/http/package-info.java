/**
 * Stand-ins for model engines and plain services over HTTP.
 */
@NullMarked
package dev.nutmegdoor.standin.http;

import org.jspecify.annotations.NullMarked;
