/**
 * Files under the data folder of instances that have a small disk.
 */
@NullMarked
package dev.nutmegdoor.node.persistence;

import org.jspecify.annotations.NullMarked;
