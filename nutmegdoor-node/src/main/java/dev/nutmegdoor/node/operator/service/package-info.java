/**
 * Operations of the operator API on the configuration, upstreams, keys and sheets.
 */
@NullMarked
package dev.nutmegdoor.node.operator.service;

import org.jspecify.annotations.NullMarked;
