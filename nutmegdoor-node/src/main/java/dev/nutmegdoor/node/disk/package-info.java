/**
 * Files of checksummed records, and the thread that writes and forces them in groups.
 */
@NullMarked
package dev.nutmegdoor.node.disk;

import org.jspecify.annotations.NullMarked;
