/**
 * Turns of conversations that the system keeps. A turn is stored durably on several
 * members of the ledger before its client sees the end of the response; later turns name
 * it and get the whole chain of inputs and outputs before their own input.
 */
@NullMarked
package dev.nutmegdoor.core.conversation;

import org.jspecify.annotations.NullMarked;
