/**
 * HTTP clients of model engines and plain services.
 */
@NullMarked
package dev.nutmegdoor.node.upstream;

import org.jspecify.annotations.NullMarked;
