/**
 * Fair queueing between workspaces, ordering of calls within a workspace, and the call
 * runner that queues, places and dispatches calls.
 */
@NullMarked
package dev.nutmegdoor.core.schedule;

import org.jspecify.annotations.NullMarked;
