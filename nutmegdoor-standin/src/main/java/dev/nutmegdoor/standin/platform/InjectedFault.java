package dev.nutmegdoor.standin.platform;

/**
 * Body of a request that injects a fault, which starts immediately.
 *
 * @param kind kind of the fault
 * @param durationMs duration in milliseconds
 * @param probability probability that the fault applies to a request, 0 to 1
 * @param delayMs additional delay of {@link PlatformFaultKind#SLOW} in milliseconds
 */
record InjectedFault(PlatformFaultKind kind, long durationMs, double probability, long delayMs) {

}
