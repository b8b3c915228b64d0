package dev.nutmegdoor.experiment.scheduling;

import java.util.List;

import dev.nutmegdoor.core.configuration.Upstream;
import dev.nutmegdoor.core.id.ProgramId;

/**
 * How a baseline chooses among the engines that it does not believe dead.
 */
enum BaselineChoice {

	ROUND_ROBIN {
		@Override
		Upstream choose(BaselineRun run, int instance, ProgramId program, List<Upstream> live) {
			return live.get(run.nextTurn(instance) % live.size());
		}
	},

	LEAST_LOADED {
		@Override
		Upstream choose(BaselineRun run, int instance, ProgramId program, List<Upstream> live) {
			Upstream best = live.get(0);
			for (Upstream upstream : live) {
				if (run.inFlight(upstream.id()) < run.inFlight(best.id())) {
					best = upstream;
				}
			}
			return best;
		}
	},

	STICKY {
		@Override
		Upstream choose(BaselineRun run, int instance, ProgramId program, List<Upstream> live) {
			// Rendezvous hashing: only the programs of a dead engine move.
			Upstream best = live.get(0);
			for (Upstream upstream : live) {
				if (weight(program, upstream) > weight(program, best)) {
					best = upstream;
				}
			}
			return best;
		}
	};

	abstract Upstream choose(BaselineRun run, int instance, ProgramId program, List<Upstream> live);

	private static long weight(ProgramId program, Upstream upstream) {
		long mixed = (program.hashCode() * 31L + upstream.id().hashCode()) * 0x9E3779B97F4A7C15L;
		mixed ^= mixed >>> 29;
		return (mixed * 0xBF58476D1CE4E5B9L) >>> 1;
	}

}
