/**
 * Frames between instances: a length prefix and a MessagePack envelope whose body is
 * decoded only by receivers that know its type, so that versions can mix.
 */
@NullMarked
package dev.nutmegdoor.protocol;

import org.jspecify.annotations.NullMarked;
