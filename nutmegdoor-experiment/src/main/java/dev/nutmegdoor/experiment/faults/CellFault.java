package dev.nutmegdoor.experiment.faults;

import dev.nutmegdoor.core.fake.LinkSettings;
import dev.nutmegdoor.core.fake.StoreFaults;
import dev.nutmegdoor.core.fault.Step;
import dev.nutmegdoor.experiment.soak.SimCluster;
import dev.nutmegdoor.experiment.soak.SimInstance;

/**
 * Faults that the matrix causes at a step, some of them pairs.
 */
public enum CellFault {

	/** The instance dies before the step takes effect. */
	CRASH_BEFORE {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.restartLater(instance, RESTART_MS);
			instance.crashAtStep(step);
		}
	},

	/** The instance dies right after the step took effect. */
	CRASH_AFTER {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.crashSoon(instance, RESTART_MS);
		}
	},

	/** The instance stops for longer than its lease; the effect happens afterwards. */
	PAUSE_PAST_LEASE {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.pause(instance, PAUSE_MS);
		}
	},

	/** Messages between instances are lost for a while. */
	MESSAGE_LOST {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setLinks(new LinkSettings(1, 2, 0, 1, 0), SHORT_MS);
		}
	},

	/** Messages between instances arrive twice. */
	MESSAGE_DOUBLED {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setLinks(new LinkSettings(1, 2, 30, 0, 1), LONG_MS);
		}
	},

	/** Messages between instances are late and overtake each other. */
	MESSAGE_LATE {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setLinks(new LinkSettings(50, 100, 700, 0, 0), LONG_MS);
		}
	},

	/** Changes of the store take effect and their answers are lost. */
	ANSWER_LOST {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setStore(new StoreFaults(1, 0, 1, Integer.MAX_VALUE), LONG_MS);
		}
	},

	/** The store is out. */
	STORE_OUT {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setStoreOut(OUTAGE_MS);
		}
	},

	/** The instance's zone is cut off. */
	ZONE_CUT {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.cutZone(instance, OUTAGE_MS);
		}
	},

	/** The instance dies while the store is out. */
	CRASH_AND_STORE_OUT {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			cluster.setStoreOut(OUTAGE_MS);
			CRASH_BEFORE.cause(cluster, instance, step);
		}
	},

	/** The instance dies after the step while answers of the store are lost. */
	CRASH_AND_ANSWER_LOST {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			ANSWER_LOST.cause(cluster, instance, step);
			CRASH_AFTER.cause(cluster, instance, step);
		}
	},

	/** The instance stops past its lease and wakes up while messages are late. */
	PAUSE_AND_MESSAGE_LATE {
		@Override
		void cause(SimCluster cluster, SimInstance instance, Step step) {
			MESSAGE_LATE.cause(cluster, instance, step);
			PAUSE_PAST_LEASE.cause(cluster, instance, step);
		}
	};

	private static final long RESTART_MS = 3_000;

	private static final long PAUSE_MS = 30_000;

	private static final long SHORT_MS = 1_500;

	private static final long LONG_MS = 8_000;

	private static final long OUTAGE_MS = 20_000;

	/**
	 * Causes the fault; it ends by itself.
	 * @param cluster the simulated deployment
	 * @param instance instance that reached the step
	 * @param step the step
	 */
	abstract void cause(SimCluster cluster, SimInstance instance, Step step);

}
