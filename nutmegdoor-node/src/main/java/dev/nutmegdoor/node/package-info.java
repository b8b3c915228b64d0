/**
 * Entry instance: composition of servers, clients and controllers into one process.
 */
@NullMarked
package dev.nutmegdoor.node;

import org.jspecify.annotations.NullMarked;
