/**
 * Wire format of the messages between instances: a length prefix and a MessagePack
 * envelope. A receiver decodes the body only if its type is registered, so that instances
 * of different versions can communicate during a rolling upgrade.
 */
@NullMarked
package dev.nutmegdoor.protocol;

import org.jspecify.annotations.NullMarked;
