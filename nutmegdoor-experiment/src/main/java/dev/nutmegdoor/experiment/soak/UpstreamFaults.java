package dev.nutmegdoor.experiment.soak;

/**
 * Faults of the simulated upstreams, as probabilities from 0 to 1.
 *
 * @param refusal the connection is refused before anything is written
 * @param reset the answer is lost, before or after the effect
 * @param error the upstream answers with status 500
 */
record UpstreamFaults(double refusal, double reset, double error) {

	static final UpstreamFaults NONE = new UpstreamFaults(0, 0, 0);

}
