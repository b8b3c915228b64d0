package dev.nutmegdoor.core.placement;

/**
 * Demand for a model and the replicas that have it loaded.
 *
 * @param model name of the model
 * @param utilisation smoothed number of running and queued calls, divided by the number
 * of slots of all replicas
 * @param replicas number of replicas that have the model loaded
 * @param sinceChangeMs time since the last order for the model in milliseconds
 */
public record ModelDemand(String model, double utilisation, int replicas, long sinceChangeMs) {

}
