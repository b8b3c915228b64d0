package dev.nutmegdoor.core.call;

/**
 * Request of a call to an upstream.
 */
public sealed interface CallPayload permits ModelCall, ServiceCall, RelayedCall {

}
