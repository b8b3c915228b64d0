package dev.nutmegdoor.experiment.load;

/**
 * Settings of a demonstration.
 *
 * @param deployment the deployment
 * @param seconds duration of the load
 * @param seed seed of arrivals, choices and stand-ins
 */
public record DemoSettings(DemoDeployment deployment, int seconds, long seed) {

}
