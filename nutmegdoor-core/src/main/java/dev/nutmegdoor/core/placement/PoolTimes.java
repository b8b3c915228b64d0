package dev.nutmegdoor.core.placement;

/**
 * Times that an instance has learned for a pool whose replicas state how long work takes.
 *
 * @param prefillFactor time to prefill a token, as a multiple of that in the cost model
 * and of the speed factor of the replica
 * @param callMs duration of a call without tokens at a replica with the speed factor 1 in
 * milliseconds
 */
public record PoolTimes(double prefillFactor, double callMs) {

}
