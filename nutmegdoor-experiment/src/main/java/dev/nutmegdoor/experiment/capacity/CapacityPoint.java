package dev.nutmegdoor.experiment.capacity;

/**
 * A measured cost.
 *
 * @param size size of what drives the cost
 * @param cost cost at that size
 */
public record CapacityPoint(int size, double cost) {

}
