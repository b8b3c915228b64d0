package dev.nutmegdoor.experiment.scheduling;

import java.util.Locale;

/**
 * Policies that are compared.
 */
public enum Policy {

	/** Each instance takes the next engine in turn; engines serve in arrival order. */
	ROUND_ROBIN {
		@Override
		PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed) {
			return new BaselineRun(cluster, BaselineChoice.ROUND_ROBIN);
		}
	},

	/** The engine with the fewest calls, known exactly; arrival order. */
	LEAST_LOADED {
		@Override
		PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed) {
			return new BaselineRun(cluster, BaselineChoice.LEAST_LOADED);
		}
	},

	/** Each program stays at the engine given by its hash; arrival order. */
	STICKY {
		@Override
		PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed) {
			return new BaselineRun(cluster, BaselineChoice.STICKY);
		}
	},

	/** Nine independent instances with lagging information. */
	SHIPPED {
		@Override
		PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed) {
			return new ScheduledRun(cluster, programs, Deployment.INSTANCES, seed);
		}
	},

	/** The shipped classes as one instance with perfect information. */
	IDEAL {
		@Override
		PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed) {
			return new ScheduledRun(cluster, programs, 1, seed);
		}

		@Override
		boolean isInformationPerfect() {
			return true;
		}
	};

	abstract PolicyRun start(SimulatedCluster cluster, ProgramRegistry programs, long seed);

	boolean isInformationPerfect() {
		return false;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
