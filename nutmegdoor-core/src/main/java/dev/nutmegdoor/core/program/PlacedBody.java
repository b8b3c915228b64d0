package dev.nutmegdoor.core.program;

import dev.nutmegdoor.core.id.UpstreamId;

/**
 * Body of {@link EntryType#TURN_PLACED}.
 *
 * @param upstream engine that may cache a prefix of the program from now on
 */
record PlacedBody(UpstreamId upstream) {

}
