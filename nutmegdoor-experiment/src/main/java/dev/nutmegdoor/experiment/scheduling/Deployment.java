package dev.nutmegdoor.experiment.scheduling;

import java.util.List;
import java.util.Locale;

/**
 * Deployments of the design page, with their zones, engines and workspaces.
 */
public enum Deployment {

	RIFT(4, 1, "quote,follow-up,stock"), SAUTIWAZI(5, 3, "tuning,assembly,status");

	static final int ZONES = 3;

	static final int ENGINES = 6;

	static final int INSTANCES = 9;

	/** Parts of the traffic of the eight workspaces; a few are large. */
	static final double[] WORKSPACE_SHARES = { 0.25, 0.2, 0.15, 0.1, 0.1, 0.08, 0.07, 0.05 };

	/** Workspace that sends five times its rate in scenario {@code heavy}. */
	static final int HEAVY_WORKSPACE = 3;

	static final double[] KIND_SHARES = { 0.6, 0.3, 0.1 };

	private final int zoneCrossingMs;

	private final int clientMs;

	private final String workKinds;

	Deployment(int zoneCrossingMs, int clientMs, String workKinds) {
		this.zoneCrossingMs = zoneCrossingMs;
		this.clientMs = clientMs;
		this.workKinds = workKinds;
	}

	/**
	 * Returns the deployment of a name.
	 * @param name name in lower case
	 * @return the deployment
	 * @throws IllegalArgumentException if there is none
	 */
	public static Deployment parse(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT));
	}

	int zoneCrossingMs() {
		return this.zoneCrossingMs;
	}

	int clientMs() {
		return this.clientMs;
	}

	List<String> workKinds() {
		return List.of(this.workKinds.split(","));
	}

}
