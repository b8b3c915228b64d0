/**
 * Fair queueing between workspaces and order within a workspace, and the call runner that
 * queues, places and dispatches calls.
 */
@NullMarked
package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.NullMarked;
