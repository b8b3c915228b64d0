package dev.nutmegdoor.core.call;

/**
 * What a call asks of an upstream.
 */
public sealed interface CallPayload permits ModelCall, ServiceCall, RelayedCall {

}
