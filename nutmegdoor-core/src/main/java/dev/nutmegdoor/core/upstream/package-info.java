/**
 * Client interfaces of the upstreams: model engines and plain services.
 */
@NullMarked
package dev.nutmegdoor.core.upstream;

import org.jspecify.annotations.NullMarked;
