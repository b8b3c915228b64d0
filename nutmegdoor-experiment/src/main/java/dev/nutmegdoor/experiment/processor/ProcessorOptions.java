package dev.nutmegdoor.experiment.processor;

/**
 * Sizes of a run.
 *
 * @param gateways gateways of the deployment; from 17 on they use relays
 * @param ledgers ledger replicas of the deployment
 * @param starts starts of each role and build
 * @param idleMs time without traffic in milliseconds
 * @param requests requests of each kind
 */
public record ProcessorOptions(int gateways, int ledgers, int starts, long idleMs, int requests) {

	public ProcessorOptions {
		if (gateways < 1 || gateways > 80 || ledgers < 1 || ledgers > 20 || starts < 1 || starts > 20 || idleMs < 1_000
				|| idleMs > 60_000 || requests < 1 || requests > 5_000) {
			throw new IllegalArgumentException("1 to 80 gateways, 1 to 20 ledger replicas, 1 to 20 starts, "
					+ "1 to 60 s and 1 to 5000 requests are possible");
		}
	}

}
