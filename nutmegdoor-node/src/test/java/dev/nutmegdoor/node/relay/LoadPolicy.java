package dev.nutmegdoor.node.relay;

import java.util.List;

import dev.nutmegdoor.core.call.CallRunner;
import dev.nutmegdoor.core.call.RelayedCall;
import dev.nutmegdoor.core.configuration.Upstream;

/**
 * How requests are queued and placed.
 */
enum LoadPolicy {

	/** The gateway's own scheduler, one for each instance. */
	SHIPPED {

		@Override
		CallRunner runner(LoadSimulation simulation, int instance) {
			return simulation.scheduler(instance);
		}

	},

	/** The same scheduler, one for all instances, with the load of each moment. */
	IDEAL {

		@Override
		CallRunner runner(LoadSimulation simulation, int instance) {
			return simulation.idealScheduler();
		}

	},

	ROUND_ROBIN {

		@Override
		Upstream choose(LoadSimulation simulation, int instance, RelayedCall call, List<Upstream> replicas) {
			return replicas.get(simulation.nextSend(instance, call.service()) % replicas.size());
		}

	},

	/** Fewest own requests in flight. */
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
		throw new IllegalStateException(this + " chooses no replica by itself");
	}

}
