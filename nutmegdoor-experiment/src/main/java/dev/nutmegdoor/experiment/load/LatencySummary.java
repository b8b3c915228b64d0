package dev.nutmegdoor.experiment.load;

/**
 * Percentiles of a latency in milliseconds.
 *
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 */
public record LatencySummary(double p50, double p95, double p99) {

}
