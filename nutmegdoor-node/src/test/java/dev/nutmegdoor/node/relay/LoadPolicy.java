package dev.nutmegdoor.node.relay;

import java.util.List;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Upstream;

/**
 * Policy by which a simulated instance queues requests and selects replicas.
 */
enum LoadPolicy {

	/** The scheduler of the gateway, one for each instance. */
	SHIPPED {

		@Override
		CallRunner runner(LoadSimulation simulation, int instance) {
			return simulation.scheduler(instance);
		}

	},

	/** The scheduler of the gateway without loads that other instances have observed. */
	WITHOUT_SHARED_LOADS {

		@Override
		CallRunner runner(LoadSimulation simulation, int instance) {
			return simulation.schedulerAlone(instance);
		}

	},

	/** The same scheduler, shared by all instances, with up-to-date load reports. */
	IDEAL {

		@Override
		CallRunner runner(LoadSimulation simulation, int instance) {
			return simulation.idealScheduler();
		}

	},

	RANDOM {

		@Override
		Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
			return replicas.get(simulation.nextRandom(replicas.size()));
		}

	},

	ROUND_ROBIN {

		@Override
		Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
			return replicas.get(simulation.nextSend(instance, call.service()) % replicas.size());
		}

	},

	/** The replica with the fewest requests in flight from this instance. */
	LEAST_LOADED {

		@Override
		Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
			Upstream best = replicas.get(0);
			for (Upstream replica : replicas) {
				if (simulation.inFlight(instance, replica.id()) < simulation.inFlight(instance, best.id())) {
					best = replica;
				}
			}
			return best;
		}

	},

	/** Always the same replica for a program. */
	STICKY {

		@Override
		Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
			return replicas
				.get(Math.floorMod(String.valueOf(call.account()).hashCode() * 0x9E3779B9 >>> 8, replicas.size()));
		}

	};

	CallRunner runner(LoadSimulation simulation, int instance) {
		return simulation.direct(instance, (call, replicas) -> choose(simulation, instance, call, replicas));
	}

	Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
		throw new IllegalStateException(this + " uses a scheduler and selects no replica itself");
	}

}
