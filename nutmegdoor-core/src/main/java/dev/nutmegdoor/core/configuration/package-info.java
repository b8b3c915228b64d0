/**
 * Configuration of a deployment: workspaces, keys, kinds of work, upstreams; its
 * validation and distribution.
 */
@NullMarked
package dev.nutmegdoor.core.configuration;

import org.jspecify.annotations.NullMarked;
