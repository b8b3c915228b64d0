package dev.nutmegdoor.standin.platform;

/**
 * Body of a request to cause a fault from now on.
 *
 * @param kind kind of the fault
 * @param durationMs duration in milliseconds
 * @param probability probability that a call meets the fault, 0 to 1
 * @param delayMs delay of a slow answer in milliseconds
 */
record InjectedFault(PlatformFaultKind kind, long durationMs, double probability, long delayMs) {

}
