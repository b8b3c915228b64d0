/**
 * Shared infrastructure of the processes on the platform: the connection to the object
 * store, and the server for metrics and state dumps.
 */
@NullMarked
package dev.nutmegdoor.node.process;

import org.jspecify.annotations.NullMarked;
